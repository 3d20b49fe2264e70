// Fault: SIGTERM to each process in the path of a running stream.

#include "harness/test_fleet.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace rampgap::test;

TEST_CASE("a planned stop cuts off no request in flight and refuses new ones as not run")
{
    constexpr int tokens = 400;
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.startServing();
    test_answer answer;
    std::thread caller([&] { answer = test_client(fleet.entry("e1").address()).send(completion(smallKey, "assistant", "whole", tokens, true)); });
    REQUIRE(eventually([&] { return get(fleet.engine("a1").address(), "/standin/runs").body.find("\"in_batch\":1") != std::string::npos; }));

    SUBCASE("the agent")
    {
        fleet.agent("a1").signal(SIGTERM);
        const auto refused = test_client(fleet.entry("e1").address()).send(completion(smallKey, "assistant", "new", 1, false));
        CHECK(refused.status == 503);
        CHECK(refused.header("Rampgap-Verdict") == "not_run");
        CHECK(!refused.header("Retry-After").empty());
        caller.join();
        CHECK(fleet.agent("a1").wait() == 0);
    }
    SUBCASE("the entry VM")
    {
        fleet.entry("e1").signal(SIGTERM);
        CHECK(eventually([&] { return get(fleet.entry("e1").address(), "/readyz").status != 200; }));
        caller.join();
        CHECK(fleet.entry("e1").wait() == 0);
    }
    CHECK(answer.status == 200);
    CHECK(answeredText(answer) == expectedText("whole", tokens));
}
