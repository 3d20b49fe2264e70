// Guards against missing changes after the metadata store is restored from an older copy and reuses revision numbers. An
// entry VM at revision 35 refused the restored store's listings as older (revision 31), requested them again a hundred times
// a second, and went on watching once the count had passed 35. So it missed what was written below 35, and sent requests to
// a leaving server for 2.5 s more.
#include "daemon/boot_timer.h"
#include "gateway/fleet/store_follower.h"
#include "platform/item_decoder.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

using namespace rampgap;

namespace {

namespace asio = boost::asio;

// The users' bound on applying what is written after the store's return.
constexpr milliseconds appliedWithin { 2'000 };
constexpr milliseconds watchWait { 800 };
constexpr milliseconds poll { 5 };
// The adapter's timeout of a watch beyond its wait.
constexpr milliseconds answerMargin { 1'000 };
// Reads that one VM may make within the two seconds of a test: five a second, and one for each of the four writes.
constexpr int maxReadings = 14;

std::string configuration(int version)
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"v","host":"h","path_prefix":"/v)" + std::to_string(version)
        + R"(/","type":"idempotent","service":"plain"}],"services":[{"name":"plain","health_path":"/h"}]})";
}

std::string server(const std::string& state)
{
    return R"({"service":"plain","address":"10.0.0.1:80","zone":"a","version":"v1","capacity":4,"state":")" + state + R"(","cold_remaining_ms":0,"sequence":1,"born":1000})";
}

const std::string configurationKey = "op/config";
const std::string serverKey = "servers/i-1";

// An in-memory store that can be restored from a copy of itself.
class restorable_store : public published_source {
public:
    explicit restorable_store(asio::io_context& io)
        : m_io(io)
    {
    }

    void put(const std::string& key, const std::string& value)
    {
        const store_revision revision = ++m_contents.revision;
        const auto before = m_contents.items.find(key);
        const published_item item { key, value, revision, before == m_contents.items.end() ? revision : before->second.created };
        m_contents.items[key] = item;
        m_contents.log.push_back({ item, false });
    }
    void copy() { m_copy = m_contents; }
    // Accepts calls and never answers them, not even later.
    void stopAnswering() { m_silent = true; }
    void resumeAnswering() { m_silent = false; }
    void restore()
    {
        m_contents = m_copy;
        ++m_epoch;
    }
    store_revision revision() const { return m_contents.revision; }
    int readings() const { return m_readings; }
    int listings() const { return m_listings; }
    store_epoch epoch() const { return m_epoch; }

    awaitable<result<published_snapshot>> readAll() override
    {
        ++m_listings;
        co_await delayAnswer();
        published_snapshot listing;
        listing.revision = m_contents.revision;
        listing.epoch = m_epoch;
        for (const auto& [key, item] : m_contents.items)
            listing.items.push_back(item);
        co_return listing;
    }

    awaitable<result<published_update>> watch(store_revision after, milliseconds wait) override
    {
        const auto epoch = m_epoch;
        const instant until = boot_clock::now() + wait;
        if (m_silent) {
            ++m_readings;
            boot_timer timer(m_io, wait + answerMargin);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
            co_return notRun(failure_reason::deadline, "no answer");
        }
        co_await delayAnswer();
        while (after == m_contents.revision && epoch == m_epoch && boot_clock::now() < until) {
            boot_timer timer(m_io, poll);
            co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        }
        published_update update;
        update.revision = m_contents.revision;
        update.epoch = m_epoch;
        update.historyLost = after > m_contents.revision;
        for (const auto& change : m_contents.log) {
            if (!update.historyLost && change.item.revision > after)
                update.changes.push_back(change);
        }
        co_return update;
    }

private:
    awaitable<void> delayAnswer()
    {
        ++m_readings;
        boot_timer timer(m_io, poll);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }

    struct contents {
        std::map<std::string, published_item> items;
        std::vector<published_change> log;
        store_revision revision = 0;
    };

    asio::io_context& m_io;
    contents m_contents;
    contents m_copy;
    store_epoch m_epoch = 1;
    int m_readings = 0;
    int m_listings = 0;
    bool m_silent = false;
};

// An entry VM that follows the store; `runUntil` runs it in real time.
struct following_vm {
    following_vm()
    {
        store.put(configurationKey, configuration(1));
        store.put(serverKey, server("ready"));
        store.copy();
        for (int version = 2; version <= 4; ++version)
            store.put(configurationKey, configuration(version));
        follower.start();
        REQUIRE(runUntil([this] { return state.configuration() && state.configuration()->version() == 4; }));
    }

    bool runUntil(const std::function<bool()>& reached)
    {
        const instant end = context.now() + appliedWithin;
        while (!reached() && context.now() < end) {
            context.io().restart();
            context.io().run_for(poll);
        }
        return reached();
    }
    bool serverDrains() { return !state.backends().acceptsWork("i-1"); }
    std::uint64_t version() const { return state.configuration()->version(); }

    process_context context { "entry", "a", "entry" };
    decision_log log { "entry", STDERR_FILENO };
    platform::item_decoder decoder;
    restorable_store store { context.io() };
    fleet_state state { context, log, decoder, milliseconds(0) };
    store_follower follower { context, log, store, state, watchWait };
};

} // namespace

TEST_CASE("changes below the revision that was seen before a restoration are applied")
{
    following_vm vm;
    const int before = vm.store.readings();
    vm.store.restore();
    vm.store.put(serverKey, server("draining"));
    CHECK(vm.store.revision() < 5);
    CHECK(vm.runUntil([&] { return vm.serverDrains(); }));
    CHECK(vm.version() == 4);
    vm.runUntil([] { return false; });
    CHECK(vm.store.readings() - before <= maxReadings);
}

TEST_CASE("changes up to and beyond the revision that was seen before a restoration are applied")
{
    for (const int last : { 5, 6, 7, 8 }) {
        CAPTURE(last);
        following_vm vm;
        vm.store.restore();
        vm.store.put(serverKey, server("draining"));
        for (int version = 5; version <= last; ++version)
            vm.store.put(configurationKey, configuration(version));
        CHECK(vm.runUntil([&] { return vm.version() == static_cast<std::uint64_t>(last) && vm.serverDrains(); }));
    }
}

TEST_CASE("a store that is restored twice in a row is followed")
{
    following_vm vm;
    vm.store.restore();
    vm.store.put(configurationKey, configuration(5));
    CHECK(vm.runUntil([&] { return vm.version() == 5; }));
    vm.store.restore();
    vm.store.put(serverKey, server("draining"));
    vm.store.put(configurationKey, configuration(6));
    CHECK(vm.runUntil([&] { return vm.version() == 6 && vm.serverDrains(); }));
}

TEST_CASE("a leaving server gets no more requests after the restored store has lost that it leaves")
{
    following_vm vm;
    vm.store.put(serverKey, server("draining"));
    REQUIRE(vm.runUntil([&] { return vm.serverDrains(); }));
    vm.store.restore();
    vm.store.put(configurationKey, configuration(5));
    CHECK(vm.runUntil([&] { return vm.version() == 5; }));
    CHECK(vm.serverDrains());
}

TEST_CASE("a VM with other readers leaves the listing of a restored store to them, and lists it if they do not")
{
    following_vm vm;
    const int before = vm.store.listings();
    vm.follower.setOtherReaders([] { return true; });
    vm.store.restore();
    SUBCASE("a peer sends the listing")
    {
        vm.runUntil([&, until = vm.context.now() + milliseconds(50)] { return vm.context.now() >= until; });
        peer_state peer;
        peer.summary = { { vm.store.epoch(), vm.store.revision() }, 0 };
        peer.delta = { { { configurationKey, configuration(1), 1, 1 } }, { configurationKey }, peer.summary.position };
        vm.state.mergePeer(peer, "peer");
        vm.store.put(configurationKey, configuration(5));
        CHECK(vm.runUntil([&] { return vm.version() == 5; }));
        CHECK(vm.store.listings() == before);
    }
    SUBCASE("no peer sends the listing")
    {
        vm.store.put(configurationKey, configuration(5));
        CHECK(vm.runUntil([&] { return vm.version() == 5; }));
        CHECK(vm.store.listings() == before + 1);
    }
}

// A call that a silent store received right before its return is never answered. It timed out 1.8 s later and the next one
// followed after a pause of 0.6 s, beyond the two seconds in which all callers are to be served again.
TEST_CASE("the return of a silent store is noticed in time, even after the longest retry pause")
{
    following_vm vm;
    vm.store.stopAnswering();
    const int before = vm.store.readings();
    constexpr int untilLongestPause = 4;
    const instant end = vm.context.now() + milliseconds(20'000);
    while (vm.store.readings() - before <= untilLongestPause && vm.context.now() < end)
        vm.runUntil([&] { return vm.store.readings() - before > untilLongestPause; });
    REQUIRE(vm.store.readings() - before > untilLongestPause);
    vm.store.restore();
    vm.store.put(configurationKey, configuration(5));
    vm.store.resumeAnswering();
    CHECK(vm.runUntil([&] { return vm.version() == 5; }));
}
