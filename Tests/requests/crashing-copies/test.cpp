// Copies of a prompt that had already crashed one engine were sent on side by side: each entry VM
// and each agent let its copy begin before the crash of any other was known, and one prompt ended
// more engines at a moment than it may in all: 0, 3, 3 and 7 of 12 were left in four runs. The
// history of crashes bars a request after two crashes and said nothing of one with a single crash;
// a test with one caller, whose sendings follow each other, never met that.

#include "harness/test_fleet.h"

#include <doctest/doctest.h>
#include <thread>

using namespace rampgap::test;

namespace {

constexpr int engines = 12;
// What a request may end, as promised.
constexpr int mostCrashes = 3;
constexpr int copies = 24;

// What an entry VM may try again after its start is used up by answers that break off.
void useUpRetries(test_fleet& fleet)
{
    constexpr int retriesAfterStart = 3;
    fleet.setEngineFaults("break_after=0");
    for (const auto& name : fleet.entryNames()) {
        test_client client(fleet.entry(name).address());
        for (int i = 0; i <= retriesAfterStart; ++i)
            client.send(completion(smallKey, "assistant", "broken off " + name + std::to_string(i), 20, false));
    }
    fleet.setEngineFaults("break_after=-1");
}

// Engines that end under one prompt. Nothing is tried again: the second copy is that of another caller.
void startWithoutRetries(test_fleet& fleet)
{
    fleet.setRules("[rules]\nretry_percent = 0\n");
    fleet.addTwoZones(engines);
    fleet.startServing();
    useUpRetries(fleet);
    fleet.setEngineFaults("crash_on=poison");
}

// At these entry VMs in turn.
void sendTogether(test_fleet& fleet, const std::vector<std::string>& entries, const test_request& request)
{
    std::vector<std::thread> callers;
    for (std::size_t i = 0; i < copies; ++i) {
        callers.emplace_back([&fleet, &request, name = entries[i % entries.size()]] {
            test_client client(fleet.entry(name).address());
            client.send(request);
        });
    }
    for (auto& caller : callers)
        caller.join();
}

} // namespace

TEST_CASE("copies of a request that crashed an engine do not crash one each")
{
    test_fleet fleet;
    startWithoutRetries(fleet);

    const auto poison = completion(smallKey, "assistant", "poison", 20, false);
    test_client first(fleet.entry("e1").address());
    first.send(poison);
    REQUIRE(fleet.enginesAlive() == engines - 1);
    for (int round = 0; round < 3; ++round)
        sendTogether(fleet, fleet.entryNames(), poison);
    CHECK(fleet.enginesAlive() >= engines - mostCrashes);
    for (int i = 0; i < 20; ++i) {
        const auto harmless = completion(smallKey, "assistant", "harmless " + std::to_string(i), 20, false);
        CHECK(eventually([&] { return first.send(harmless).status == 200; }));
    }
}

// Whoever is told that its request was lost may come again at once, at another entry VM, which must know of the crash.
TEST_CASE("a caller is told of its loss once the other entry VMs know of the crash")
{
    test_fleet fleet;
    startWithoutRetries(fleet);
    // Nobody passes news on: the other entry VM hears of the crash from the agent that saw it.
    std::string cut = fleet.entry("e1").peerAddress();
    for (const auto& name : fleet.agentNames())
        cut += "," + fleet.agent(name).peerAddress();
    for (const auto& name : fleet.agentNames())
        post(fleet.agent(name).address(), "/operator/cut", cut, operatorKey);
    post(fleet.entry("e1").address(), "/operator/cut", cut + "," + fleet.entry("e2").peerAddress(), operatorKey);

    const auto poison = completion(smallKey, "assistant", "poison", 20, false);
    test_client first(fleet.entry("e1").address());
    REQUIRE(first.send(poison).status >= 500);
    sendTogether(fleet, { "e2" }, poison);
    CHECK(fleet.enginesAlive() >= engines - mostCrashes);
}
