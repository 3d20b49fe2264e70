// Guards against going back in time with a restored store, which has lost the changes that it acknowledged in its last
// seconds. A server that had left was listed as ready again and got requests 5 s later, a restarted server was back in its
// earlier incarnation, and a restarted entry VM read an older configuration than its peers knew at the same revision.
#include "gateway/fleet/fleet_state.h"
#include "platform/item_decoder.h"
#include "policy/configuration/snapshot_choice.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <unistd.h>

using namespace rampgap;

namespace {

const std::string configurationKey = "op/config";

std::string configuration(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[],"services":[{"name":"plain","health_path":"/h"}]})";
}

std::string server(const std::string& state, int born)
{
    return R"({"service":"plain","address":"10.0.0.1:80","zone":"a","version":"v1","capacity":4,"state":")" + state + R"(","cold_remaining_ms":0,"sequence":1,"born":)" + std::to_string(born) + "}";
}

published_item configurationItem(int version, store_revision revision)
{
    return { configurationKey, configuration(version), revision, 1 };
}

published_item serverItem(const std::string& state, int born, store_revision revision, store_revision created = 2)
{
    return { "servers/i-1", server(state, born), revision, created };
}

// The state of an entry VM, which it reads from the store or merges from other VMs.
struct vm {
    void readStore(std::vector<published_item> items, store_position position)
    {
        state.applySnapshot(published_snapshot { std::move(items), position.revision, position.epoch }, context.now());
    }
    bool differsFrom(const vm& other)
    {
        snapshot_choice choice;
        return choice.recordPeerSummary("other", true, other.state.summary(), state.summary(), context.now()).has_value();
    }
    void mergeFrom(const vm& other)
    {
        peer_state peer;
        peer.summary = other.state.summary();
        peer.delta = other.state.published().since(state.published().position());
        for (const auto& [key, retained] : other.state.published().retained().all())
            peer.retained.push_back(retained);
        peer.freshAsOf = other.state.published().freshAsOf();
        peer.listUncertainFor = other.state.listUncertainFor();
        peer.listSettled = other.state.listSettled();
        peer.restoredAt = other.state.restoredAt();
        state.mergePeer(peer, "other");
    }
    std::uint64_t version() const { return state.configuration()->version(); }
    bool open() { return state.backends().acceptsWork("i-1"); }

    process_context context { "entry", "a", "entry" };
    decision_log log { "entry", STDERR_FILENO };
    platform::item_decoder decoder;
    fleet_state state { context, log, decoder, milliseconds(0) };
};

} // namespace

TEST_CASE("a configuration that the restored store has lost stays in force, and a starting VM learns it from peers")
{
    vm informed;
    informed.readStore({ configurationItem(63, 46) }, { 1, 46 });
    informed.readStore({ configurationItem(61, 44) }, { 2, 46 });
    CHECK(informed.version() == 63);
    vm started;
    started.readStore({ configurationItem(61, 44) }, { 2, 46 });
    CHECK(started.version() == 61);
    CHECK(started.differsFrom(informed));
    started.mergeFrom(informed);
    CHECK(started.version() == 63);
    CHECK_FALSE(started.differsFrom(informed));
    // Once the operator has published a newer version, nothing is retained any more.
    for (auto* each : { &informed, &started }) {
        each->readStore({ configurationItem(67, 47) }, { 2, 47 });
        CHECK(each->version() == 67);
        CHECK(each->state.summary().retained == 0);
    }
}

TEST_CASE("a leaving server does not become ready again in the same incarnation")
{
    vm informed;
    informed.readStore({ serverItem("ready", 100, 2) }, { 1, 2 });
    informed.readStore({ serverItem("draining", 100, 5) }, { 1, 5 });
    informed.readStore({ serverItem("ready", 100, 2) }, { 2, 3 });
    CHECK_FALSE(informed.open());
    informed.readStore({ serverItem("ready", 100, 4) }, { 2, 4 });
    CHECK_FALSE(informed.open());
    informed.readStore({ serverItem("ready", 200, 5) }, { 2, 5 });
    CHECK(informed.open());
}

TEST_CASE("a server that had gone is not used again because a restored store lists it")
{
    vm informed;
    informed.readStore({ configurationItem(1, 1), serverItem("ready", 100, 2) }, { 1, 2 });
    informed.readStore({ configurationItem(1, 1) }, { 1, 6 });
    informed.readStore({ configurationItem(1, 1), serverItem("ready", 100, 2) }, { 2, 3 });
    CHECK_FALSE(informed.open());
    vm started;
    started.readStore({ configurationItem(1, 1), serverItem("ready", 100, 2) }, { 2, 3 });
    CHECK(started.differsFrom(informed));
    started.mergeFrom(informed);
    CHECK_FALSE(started.open());
    // The server is alive after all and has written its entry again.
    informed.readStore({ configurationItem(1, 1), serverItem("ready", 100, 5, 5) }, { 2, 5 });
    CHECK(informed.open());
}

TEST_CASE("a restarted server does not return to its earlier incarnation")
{
    vm informed;
    int restarts = 0;
    informed.state.onRestart([&restarts](const listed_backend&) { ++restarts; });
    informed.readStore({ serverItem("ready", 100, 2) }, { 1, 2 });
    informed.readStore({ serverItem("ready", 200, 5) }, { 1, 5 });
    informed.readStore({ serverItem("ready", 100, 2) }, { 2, 3 });
    CHECK(informed.open());
    CHECK(informed.state.backends().find("i-1")->incarnation == 200);
    informed.readStore({ serverItem("ready", 200, 4) }, { 2, 4 });
    CHECK(restarts == 1);
}

TEST_CASE("a server whose first entry the restored store has lost is kept until it writes it again")
{
    vm informed;
    informed.readStore({ configurationItem(1, 1) }, { 1, 2 });
    informed.readStore({ configurationItem(1, 1), serverItem("ready", 100, 5, 5) }, { 1, 5 });
    informed.readStore({ configurationItem(1, 1) }, { 2, 3 });
    CHECK(informed.open());
}

TEST_CASE("a retained server does not take its address from a server that the store lists")
{
    vm informed;
    informed.readStore({ configurationItem(1, 1) }, { 1, 2 });
    informed.readStore({ configurationItem(1, 1), serverItem("draining", 100, 41, 40) }, { 1, 41 });
    published_item next { "servers/i-2", server("ready", 300), 38, 38 };
    informed.readStore({ configurationItem(1, 1), serverItem("ready", 100, 36, 36), next }, { 2, 38 });
    CHECK_FALSE(informed.open());
    CHECK(informed.state.backends().acceptsWork("i-2"));
}

// An entry VM that had been suspended while the store was restored listed it when it resumed. It kept a server that had
// gone 2 s before for two more seconds and sent it a request 1.2 s later, though its peers had known of the store's return all along.
TEST_CASE("a VM that finds a restoration late keeps missing servers no longer than its peers do")
{
    vm resumed;
    resumed.readStore({ configurationItem(1, 1), serverItem("ready", 100, 2) }, { 1, 2 });
    resumed.readStore({ configurationItem(1, 1) }, { 2, 3 });
    CHECK(resumed.open());
    const instant now = resumed.context.now();
    resumed.state.mergePeerRestoration(1, now - milliseconds(9'000));
    CHECK(resumed.open());
    resumed.state.mergePeerRestoration(2, now - milliseconds(500));
    resumed.state.runPeriodicWork();
    CHECK(resumed.open());
    resumed.state.mergePeerRestoration(2, now - milliseconds(2'000));
    resumed.state.runPeriodicWork();
    CHECK_FALSE(resumed.open());
}

TEST_CASE("freshness is only taken over from a peer that retains the same items")
{
    vm informed;
    informed.readStore({ configurationItem(63, 46) }, { 1, 46 });
    informed.readStore({ configurationItem(61, 44) }, { 2, 46 });
    vm started;
    started.readStore({ configurationItem(61, 44) }, { 2, 46 });
    const auto before = started.state.published().freshAsOf();
    const instant later = started.context.now() + milliseconds(50);
    started.state.mergePeerFreshness(informed.state.summary(), later);
    CHECK(started.state.published().freshAsOf() == before);
    started.mergeFrom(informed);
    started.state.mergePeerFreshness(informed.state.summary(), later);
    CHECK(started.state.published().freshAsOf() == later);
}

TEST_CASE("a reading right after a restoration is not fresh until peers had time to report what they retain")
{
    vm reader;
    reader.readStore({ configurationItem(61, 44) }, { 1, 46 });
    const auto before = reader.state.published().freshAsOf();
    REQUIRE(before);
    reader.readStore({ configurationItem(61, 44) }, { 2, 44 });
    CHECK(reader.state.published().freshAsOf() == before);
}

TEST_CASE("in any order of writes, restorations, readings and exchanges no VM goes back, and all agree in the end")
{
    CHECK(rc::check([] {
        std::vector<vm> vms(3);
        published_snapshot store { { configurationItem(1, 1) }, 1, 1 };
        published_snapshot copy = store;
        int version = 1;
        std::vector<std::uint64_t> shown(vms.size(), 0);
        for (const auto step : *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 100))) {
            const std::size_t reader = static_cast<std::size_t>(step) % vms.size();
            if (step < 20) {
                store.items = { configurationItem(++version, ++store.revision) };
            } else if (step < 30) {
                copy = store;
            } else if (step < 40) {
                const store_epoch epoch = store.epoch + 1;
                store = copy;
                store.epoch = epoch;
            } else if (step < 80) {
                vms[reader].readStore(store.items, store.position());
            } else {
                auto& other = vms[(reader + 1) % vms.size()];
                if (vms[reader].differsFrom(other))
                    vms[reader].mergeFrom(other);
            }
            for (std::size_t i = 0; i < vms.size(); ++i) {
                const auto inForce = vms[i].state.configuration() ? vms[i].version() : 0;
                RC_ASSERT(inForce >= shown[i]);
                shown[i] = inForce;
            }
        }
        for (auto& each : vms)
            each.readStore(store.items, store.position());
        for (int round = 0; round < 2; ++round) {
            for (auto& each : vms) {
                for (auto& other : vms) {
                    if (each.differsFrom(other))
                        each.mergeFrom(other);
                }
            }
        }
        const auto newest = *std::max_element(shown.begin(), shown.end());
        for (auto& each : vms) {
            RC_ASSERT(each.version() >= newest);
            RC_ASSERT(each.state.summary() == vms.front().state.summary());
        }
    }));
}
