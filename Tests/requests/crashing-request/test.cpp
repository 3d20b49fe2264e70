// A prompt that crashes each engine that begins with it took one engine after the other: of eight
// engines none was left after six sendings of it, and 20 of 20 other prompts got 502. What failed
// was remembered by backend server only; each try, and each time that the caller came again, was
// a new request to the entry VMs and to the agents.

#include "harness/test_fleet.h"

#include <algorithm>
#include <doctest/doctest.h>

using namespace rampgap::test;

namespace {

constexpr int engines = 8;
// What a request may end, as promised.
constexpr int mostCrashes = 3;

// Engines whose end their agents know of.
int crashesKnown(test_fleet& fleet)
{
    const auto names = fleet.agentNames();
    return static_cast<int>(std::count_if(names.begin(), names.end(), [&](const std::string& name) { return get(fleet.agent(name).address(), "/metrics").body.find("rampgap_servers_crashed_total 1") != std::string::npos; }));
}

bool runsSomewhere(test_fleet& fleet)
{
    const auto names = fleet.agentNames();
    return std::any_of(names.begin(), names.end(), [&](const std::string& name) { return get(fleet.engine(name).address(), "/standin/runs").body.find("\"in_batch\":1") != std::string::npos; });
}

} // namespace

TEST_CASE("a request that crashes engines is refused everywhere, and nothing that ran beside it")
{
    bool streams = false;
    SUBCASE("a whole answer")
    {
    }
    SUBCASE("a stream")
    {
        streams = true;
    }
    test_fleet fleet;
    // Each try may be followed by another.
    fleet.setRules("[rules]\nretry_percent = 100\n");
    fleet.addTwoZones(engines);
    fleet.startServing();
    fleet.setEngineFaults("crash_on=poison");

    std::vector<std::unique_ptr<test_client>> clients;
    for (const auto& name : fleet.entryNames())
        clients.push_back(std::make_unique<test_client>(fleet.entry(name).address()));
    test_answer last;
    for (int sending = 0; sending < 6; ++sending)
        last = clients[static_cast<std::size_t>(sending) % clients.size()]->send(completion(smallKey, "assistant", "poison", 20, streams));
    CHECK(fleet.enginesAlive() >= engines - mostCrashes);
    CHECK(last.status == 503);
    CHECK(last.header("Rampgap-Reason") == "crashes_servers");
    CHECK(last.header("Rampgap-Verdict") == "not_run");
    for (int i = 0; i < 20; ++i) {
        const auto harmless = completion(smallKey, "assistant", "harmless " + std::to_string(i), 20, streams);
        // Engines that have ended do not come back here; whoever met three of them comes again.
        CHECK(eventually([&] { return clients[static_cast<std::size_t>(i) % clients.size()]->send(harmless).status == 200; }));
    }
}

// Requests that begin alike but are not the same must count together, or each of them crashes another engine.
TEST_CASE("a beginning of prompts that crashes engines is refused, and other prompts are served")
{
    test_fleet fleet;
    fleet.setRules("[rules]\nretry_percent = 100\n");
    fleet.addTwoZones(engines);
    fleet.startServing();
    fleet.setEngineFaults("crash_on=poison");
    const std::string beginning = "poison" + std::string(2'000, '.');
    std::vector<std::unique_ptr<test_client>> clients;
    for (const auto& name : fleet.entryNames())
        clients.push_back(std::make_unique<test_client>(fleet.entry(name).address()));
    test_answer last;
    for (int sending = 0; sending < 6; ++sending)
        last = clients[static_cast<std::size_t>(sending) % clients.size()]->send(completion(smallKey, "assistant", beginning + std::to_string(sending), 20, false));
    CHECK(fleet.enginesAlive() >= engines - mostCrashes);
    CHECK(last.header("Rampgap-Reason") == "crashes_servers");
    CHECK(eventually([&] { return clients.front()->send(completion(smallKey, "assistant", "harmless", 20, false)).status == 200; }));
}

// Callers that had left as their engine ended hid what had ended it: all engines ended one after the other.
TEST_CASE("a request that crashes engines after its caller has left is refused, too")
{
    constexpr std::chrono::milliseconds longest { 2'000 };
    test_fleet fleet;
    fleet.addTwoZones(engines);
    fleet.startServing();
    fleet.setEngineFaults("crash_on=poison&slow=50");
    const std::string body = completion(smallKey, "assistant", "poison", 20, false).body;
    const std::string request = "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + smallKey + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    for (int sending = 0; sending < engines; ++sending) {
        const auto untilItRuns = [&] { eventually([&] { return runsSomewhere(fleet); }, longest); };
        test_client::raw(fleet.entry(sending % 2 == 0 ? "e1" : "e2").address(), request, untilItRuns);
        eventually([&] { return !runsSomewhere(fleet) && crashesKnown(fleet) == engines - fleet.enginesAlive(); }, longest);
    }
    CHECK(fleet.enginesAlive() >= engines - mostCrashes);
}
