// Fault: an entry VM is frozen with a request in hand and wakes after the id's life.

#include "harness/test_fleet.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace rampgap::test;

namespace {

// Longer than the id life of the test fleet and than the longest gap that is no pause.
constexpr std::chrono::milliseconds pastTheLife { 1'600 };

} // namespace

TEST_CASE("a frozen entry VM that wakes delivers nothing that was sent to it before")
{
    test_fleet fleet;
    fleet.addBackend({ "s1", "lac", "filings", 8, {} });
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.addEntry("e2", "lac");
    fleet.startServing();
    REQUIRE(fleet.waitProven("/filings"));
    test_answer late;

    SUBCASE("the request waits unread in the frozen process's socket")
    {
        fleet.entry("e1").signal(SIGSTOP);
        std::thread caller([&] { late = test_client(fleet.entry("e1").address()).send(onceCall(smallKey, "/filings", "frozen", "x")); });
        CHECK(test_client(fleet.entry("e2").address()).send(onceCall(smallKey, "/filings", "frozen", "x")).status == 200);
        std::this_thread::sleep_for(pastTheLife);
        fleet.entry("e1").signal(SIGCONT);
        caller.join();
    }
    SUBCASE("the request was read and waits for an earlier one of its session")
    {
        post(fleet.engine("a1").address(), "/standin/faults?stall_ms=1000");
        auto first = completion(smallKey, "assistant", "slow", 1, false);
        auto second = onceCall(smallKey, "/filings", "frozen", "x");
        first.headers.emplace_back("Rampgap-Session", "s");
        second.headers.emplace_back("Rampgap-Session", "s");
        std::thread slow([&] { test_client(fleet.entry("e1").address()).send(first); });
        REQUIRE(eventually([&] { return get(fleet.entry("e1").address(), "/metrics").body.find("rampgap_requests_in_flight 1") != std::string::npos; }));
        std::thread caller([&] { late = test_client(fleet.entry("e1").address()).send(second); });
        REQUIRE(eventually([&] { return get(fleet.entry("e1").address(), "/metrics").body.find("rampgap_requests_in_flight 2") != std::string::npos; }));
        fleet.entry("e1").signal(SIGSTOP);
        CHECK(test_client(fleet.entry("e2").address()).send(onceCall(smallKey, "/filings", "frozen", "x")).status == 200);
        std::this_thread::sleep_for(pastTheLife);
        fleet.entry("e1").signal(SIGCONT);
        slow.join();
        caller.join();
        CHECK(late.status == 503);
        CHECK(late.header("Rampgap-Verdict") == "not_run");
    }
    CHECK(late.status != 200);
    CHECK(fleet.runsOf("small", "frozen") == 1);
    // The woken entry VM serves again.
    CHECK(eventually([&] { return test_client(fleet.entry("e1").address()).send(onceCall(smallKey, "/filings", "after", "x")).status == 200; }));
}
