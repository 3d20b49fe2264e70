// An engine that names a limit gets what it takes from all entry VMs together, and the others the rest.
#include "harness/test_fleet.h"
#include "policy/engine_intake.h"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <thread>

using namespace rampgap::test;
using namespace rampgap;

namespace {

constexpr int limitPerSecond = 3;
constexpr std::chrono::seconds observed { 5 };

// "total" of the engine's runs.
int runsAt(test_fleet& fleet, const std::string& name)
{
    const std::string body = get(fleet.engine(name).address(), "/standin/runs").body;
    return std::atoi(body.c_str() + body.find(':') + 1);
}

// Callers at all entry VMs, with prompts that no engine has seen, until the time is over; returns how many were not served.
int askAll(test_fleet& fleet, std::chrono::seconds length)
{
    static std::atomic<int> prompts = 0;
    std::atomic<int> unserved = 0;
    std::vector<std::thread> callers;
    for (const auto& name : fleet.entryNames()) {
        callers.emplace_back([&, name] {
            test_client client(fleet.entry(name).address());
            const auto end = std::chrono::steady_clock::now() + length;
            while (std::chrono::steady_clock::now() < end)
                unserved += client.send(completion(smallKey, "assistant", "prompt " + std::to_string(++prompts), 1, false)).status == 200 ? 0 : 1;
        });
    }
    for (auto& caller : callers)
        caller.join();
    return unserved;
}

instant at(int ms) { return instant(std::chrono::hours(1)) + milliseconds(ms); }

} // namespace

TEST_CASE("an engine that names a limit gets no more than that from all entry VMs together")
{
    test_fleet fleet;
    fleet.setRules("[rules]\nretry_percent = 20\n");
    for (const std::string name : { "a1", "a2", "a3", "a4" })
        fleet.addBackend({ name, "lac", "assistant", 8, {} });
    for (const std::string name : { "e1", "e2", "e3" })
        fleet.addEntry(name, "lac");
    fleet.startServing();
    post(fleet.engine("a1").address(), "/standin/faults?limit=" + std::to_string(limitPerSecond));
    askAll(fleet, std::chrono::seconds(1));
    const int before = runsAt(fleet, "a1");
    CHECK(askAll(fleet, observed) == 0);
    const int came = runsAt(fleet, "a1") - before;
    CHECK(came <= limitPerSecond * (observed.count() + 2));
    CHECK(came >= limitPerSecond * observed.count() / 2);
    post(fleet.engine("a1").address(), "/standin/faults?limit=none");
    askAll(fleet, std::chrono::seconds(1));
    const int ended = runsAt(fleet, "a1");
    askAll(fleet, std::chrono::seconds(2));
    CHECK(runsAt(fleet, "a1") - ended > 2 * limitPerSecond * 2);
}

TEST_CASE("an engine's limit holds from its first word to a word without it, or to the end of its life")
{
    engine_intake intake;
    CHECK(intake.enter("e1", at(0)).has_value());
    intake.noteLimit(2.0, at(0));
    CHECK_FALSE(intake.enter("e1", at(0)).has_value());
    int taken = 0;
    for (int now = 0; now < 10'000; now += 10)
        taken += intake.enter("e1", at(now)).has_value() ? 1 : 0;
    CHECK(taken >= 18);
    CHECK(taken <= 22);
    intake.noteLimit(std::nullopt, at(10'000));
    CHECK(intake.enter("e1", at(10'000)).has_value());
    intake.noteLimit(2.0, at(10'000));
    intake.forget();
    CHECK(intake.enter("e1", at(10'000)).has_value());
}

TEST_CASE("entry VMs that an engine's limit refused are given turns, not one moment")
{
    engine_intake intake;
    intake.noteLimit(1.0, at(0));
    milliseconds last { 0 };
    for (const std::string entry : { "e1", "e2", "e3", "e4" }) {
        const auto refused = intake.enter(entry, at(0));
        REQUIRE_FALSE(refused.has_value());
        CHECK((refused.error().reason == failure_reason::server_limit));
        CHECK(refused.error().retryAfter.value() > last);
        last = refused.error().retryAfter.value();
    }
}

TEST_CASE("an engine that takes nothing is tried now and then")
{
    engine_intake intake;
    intake.noteLimit(0.0, at(0));
    int taken = 0;
    for (int now = 0; now < 60'000; now += 100)
        taken += intake.enter("e1", at(now)).has_value() ? 1 : 0;
    CHECK(taken >= 5);
    CHECK(taken <= 7);
}
