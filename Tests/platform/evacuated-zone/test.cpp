// Guards against requests that reach a zone after its operators have evacuated it: the request to evacuate a zone is an
// item of the store, and no VM read it.
#include "gateway/fleet/fleet_state.h"
#include "platform/item_decoder.h"

#include <doctest/doctest.h>
#include <unistd.h>

using namespace rampgap;

namespace {

const std::vector<std::string> both { "i-a", "i-b" };
const std::vector<std::string> onlyB { "i-b" };

published_item configurationItem()
{
    return { "op/config", R"({"version":1,"routes":[],"services":[{"name":"plain","health_path":"/h"}]})", 1, 1 };
}

published_item serverItem(const std::string& id, const std::string& zone, const std::string& address)
{
    return { "servers/" + id, R"({"service":"plain","address":")" + address + R"(","zone":")" + zone + R"(","version":"v1","capacity":4,"state":"ready","cold_remaining_ms":0,"sequence":1})", 2, 2 };
}

published_item evacuationItem(const std::string& zone, store_revision revision, const std::string& value = "{}")
{
    return { "op/evacuate/" + zone, value, revision, revision };
}

// The state of an entry VM with a server in each of the zones a and b.
struct vm {
    std::vector<published_item> listing(std::vector<published_item> more = {}) const
    {
        std::vector<published_item> items { configurationItem(), serverItem("i-a", "a", "10.0.0.1:80"), serverItem("i-b", "b", "10.0.0.2:80") };
        items.insert(items.end(), more.begin(), more.end());
        return items;
    }
    void list(std::vector<published_item> more, store_position position)
    {
        state.applySnapshot(published_snapshot { listing(std::move(more)), position.revision, position.epoch }, context.now());
    }
    void watch(published_change change, store_revision from)
    {
        published_update update;
        update.epoch = state.published().position().epoch;
        update.revision = change.item.revision;
        update.changes.push_back(std::move(change));
        state.applyUpdate(update, { update.epoch, from }, context.now());
    }
    void mergeFrom(const vm& other)
    {
        peer_state peer;
        peer.summary = other.state.summary();
        peer.delta = other.state.published().since(state.published().position());
        for (const auto& [key, retained] : other.state.published().retained().all())
            peer.retained.push_back(retained);
        peer.restoredAt = other.state.restoredAt();
        state.mergePeer(peer, "other");
    }
    std::vector<std::string> pool() { return state.backends().pool("plain"); }

    process_context context { "entry", "a", "entry" };
    decision_log log { "entry", STDERR_FILENO };
    platform::item_decoder decoder;
    fleet_state state { context, log, decoder, milliseconds(0) };
};

} // namespace

TEST_CASE("servers of an evacuated zone receive nothing until the request is withdrawn")
{
    vm entry;
    entry.list({}, { 1, 2 });
    CHECK(entry.pool() == both);
    entry.watch({ evacuationItem("a", 3), false }, 2);
    CHECK(entry.pool() == onlyB);
    CHECK_FALSE(entry.state.backends().acceptsWork("i-a"));
    entry.watch({ { "op/evacuate/a", {}, 4 }, true }, 3);
    CHECK(entry.pool() == both);
    // Withdrawn twice, and an evacuation of a zone without servers.
    entry.watch({ { "op/evacuate/a", {}, 5 }, true }, 4);
    entry.watch({ evacuationItem("elsewhere", 6), false }, 5);
    CHECK(entry.pool() == both);
}

TEST_CASE("an evacuation is found in a listing, applies to servers that register later, and says what it says whatever its value is")
{
    vm entry;
    for (const char* value : { "{}", "", "not json", "[1]" }) {
        vm started;
        started.list({ evacuationItem("a", 3, value) }, { 1, 3 });
        CHECK(started.pool() == onlyB);
    }
    entry.list({ evacuationItem("a", 3) }, { 1, 3 });
    entry.watch({ serverItem("i-c", "a", "10.0.0.3:80"), false }, 3);
    CHECK(entry.pool() == onlyB);
    // A key that names no zone evacuates nothing.
    vm other;
    other.list({ evacuationItem("", 3) }, { 1, 3 });
    CHECK(other.pool() == both);
}

TEST_CASE("a zone that is evacuated twice is free once the request is withdrawn, and two zones are independent")
{
    vm entry;
    entry.list({ evacuationItem("a", 3), evacuationItem("b", 4) }, { 1, 4 });
    CHECK(entry.pool().empty());
    entry.watch({ { "op/evacuate/a", "{\"again\":1}", 5, 3 }, false }, 4);
    entry.watch({ { "op/evacuate/b", {}, 6 }, true }, 5);
    CHECK(entry.pool() == onlyB);
    entry.watch({ { "op/evacuate/a", {}, 7 }, true }, 6);
    CHECK(entry.pool() == both);
}

TEST_CASE("an evacuation travels between VMs, and its withdrawal too")
{
    vm reader;
    vm peer;
    reader.list({ evacuationItem("a", 3) }, { 1, 3 });
    peer.mergeFrom(reader);
    CHECK(peer.pool() == onlyB);
    reader.watch({ { "op/evacuate/a", {}, 4 }, true }, 3);
    peer.mergeFrom(reader);
    CHECK(peer.pool() == both);
}

TEST_CASE("an evacuation that a restored store has lost stays in force, also at a VM that was started later")
{
    vm informed;
    informed.list({ evacuationItem("a", 5) }, { 1, 5 });
    informed.list({}, { 2, 3 });
    CHECK(informed.pool() == onlyB);
    vm started;
    started.list({}, { 2, 3 });
    started.mergeFrom(informed);
    CHECK(started.pool() == onlyB);
    // The operator repeats the request and withdraws it.
    for (auto* each : { &informed, &started }) {
        each->watch({ evacuationItem("a", 4), false }, 3);
        CHECK(each->pool() == onlyB);
        each->watch({ { "op/evacuate/a", {}, 5 }, true }, 4);
        CHECK(each->pool() == both);
    }
}

TEST_CASE("an evacuation that was withdrawn before the store was restored does not come back")
{
    vm informed;
    informed.list({ evacuationItem("a", 3) }, { 1, 3 });
    informed.watch({ { "op/evacuate/a", {}, 4 }, true }, 3);
    SUBCASE("with the restored store's listing")
    {
        informed.list({ evacuationItem("a", 3) }, { 2, 3 });
        CHECK(informed.pool() == both);
    }
    SUBCASE("with a VM that missed the withdrawal")
    {
        vm behind;
        behind.list({ evacuationItem("a", 3) }, { 1, 3 });
        behind.list({}, { 2, 2 });
        informed.list({}, { 2, 2 });
        informed.mergeFrom(behind);
        CHECK(informed.pool() == both);
    }
}
