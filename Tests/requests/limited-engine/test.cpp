// An engine that names a limit gets what it takes from all entry VMs together, and the others the rest.
#include "harness/test_fleet.h"

#include <atomic>
#include <chrono>
#include <doctest/doctest.h>
#include <thread>

using namespace rampgap::test;

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
