// Guards against odd values of items: what they say is used although it means nothing, or differs between kinds of processors, and what was sound
// before is lost.
#include "gateway/fleet/fleet_state.h"
#include "platform/item_decoder.h"

#include <doctest/doctest.h>
#include <unistd.h>

using namespace rampgap;
using namespace rampgap::platform;

namespace {

std::string nested(std::size_t depth)
{
    return std::string(depth, '[') + std::string(depth, ']');
}

std::string serverText(const std::string& address, const std::string& more = "")
{
    return R"({"service":"plain","address":")" + address + R"(","zone":"a","version":"v1","capacity":4,"state":"ready","cold_remaining_ms":0,"sequence":1)" + more + "}";
}

std::string configurationText(int version, const std::string& route = "", const std::string& engine = "", const std::string& more = "")
{
    return R"({"version":)" + std::to_string(version) + R"(,"routes":[{"name":"r","host":"h","path_prefix":"/r/","type":"idempotent","service":"plain")" + route
        + R"(}],"services":[{"name":"plain","health_path":"/h")" + engine + "}]" + more + "}";
}

// The state of an entry VM, which it reads from the store or merges from other VMs.
struct vm {
    // `keepLapsedFor`: 0 for an entry VM, which sends requests.
    explicit vm(milliseconds keepLapsedFor = milliseconds(0))
        : state(context, log, decoder, keepLapsedFor)
    {
    }
    void list(std::vector<published_item> items, store_revision revision)
    {
        state.applySnapshot(published_snapshot { std::move(items), revision, 1 }, context.now());
    }
    void follow(const published_item& changed)
    {
        const store_position from = state.published().position();
        published_update update;
        update.changes.push_back({ changed, false });
        update.revision = changed.revision;
        update.epoch = from.epoch;
        state.applyUpdate(update, from, context.now());
    }
    void mergeFrom(const vm& other)
    {
        peer_state peer;
        peer.summary = other.state.summary();
        peer.delta = other.state.published().since(state.published().position());
        for (const auto& [key, retained] : other.state.published().retained().all())
            peer.retained.push_back(retained);
        state.mergePeer(peer, "other");
    }
    std::uint64_t version() const { return state.configuration() ? state.configuration()->version() : 0; }

    process_context context { "entry", "a", "entry" };
    decision_log log { "entry", STDERR_FILENO };
    item_decoder decoder;
    fleet_state state;
};

} // namespace

TEST_CASE("an entry that became odd names no server, and the others stay")
{
    const std::vector<std::string> odd {
        "",
        nested(100),
        nested(100'000),
        std::string(100'000, '['),
        std::string(100'000, '{'),
        serverText("10.0.0.1:65536"),
        serverText("10.0.0.1:0"),
        serverText("10.0.0.1:-1"),
        serverText("10.0.0.1:http"),
        serverText("10.0.0.1:" + std::string(400, '9')),
        serverText("0.0.0.0:80"),
        serverText("224.0.0.1:80"),
        serverText(R"(10.0.0.1:80\r\nX-Key: k)"),
        serverText("10.0.0.1:80", R"(,"born":1e400)"),
        serverText("10.0.0.1:80", R"(,"born":18446744073709551616)"),
        serverText("10.0.0.1:80", R"(,"cold_remaining_ms":0e400)"),
    };
    for (const auto& value : odd) {
        INFO(value.substr(0, 200));
        vm entry;
        const published_item other { "servers/other", serverText("10.0.0.2:80"), 2, 2 };
        entry.list({ { "op/config", configurationText(1), 1, 1 }, { "servers/i-1", serverText("10.0.0.1:80"), 2, 2 }, other }, 3);
        CHECK(entry.state.backends().acceptsWork("i-1"));
        entry.follow({ "servers/i-1", value, 4, 2 });
        CHECK_FALSE(entry.state.backends().acceptsWork("i-1"));
        CHECK(entry.state.backends().acceptsWork("other"));
        entry.follow({ "servers/i-1", serverText("10.0.0.1:80"), 5, 2 });
        CHECK(entry.state.backends().acceptsWork("i-1"));
    }
}

TEST_CASE("an agent keeps a rank whose entry became odd for as long as one whose entry is missing")
{
    for (const bool isMissing : { false, true }) {
        vm agent { milliseconds(20'000) };
        const std::vector<published_item> before { { "op/config", configurationText(1), 1, 1 }, { "servers/i-1", serverText("10.0.0.1:80"), 2, 2 } };
        agent.list(before, 3);
        if (isMissing)
            agent.list({ before.front() }, 4);
        else
            agent.follow({ "servers/i-1", "odd", 4, 2 });
        CHECK(agent.state.backends().find("i-1"));
        CHECK(agent.state.backends().acceptsWork("i-1"));
    }
}

TEST_CASE("a key that cannot be sent in a header field names no server")
{
    for (const auto& id : std::vector<std::string> { "", "i 1", "i-1\r\nX-Key: k", std::string("i\0", 2), "i\x7F" }) {
        vm entry;
        entry.list({ { "op/config", configurationText(1), 1, 1 }, { "servers/" + id, serverText("10.0.0.1:80"), 2, 2 } }, 3);
        CHECK(entry.state.backends().activeServers("plain").empty());
    }
}

TEST_CASE("an odd configuration leaves the one in force in force, also at a machine that has started since")
{
    const std::vector<std::string> odd {
        "",
        nested(100'000),
        R"({"version":2})",
        configurationText(2, R"(,"timeout_ms":1e400)"),
        configurationText(2, R"(,"timeout_ms":-1)"),
        configurationText(2, R"(,"timeout_ms":"8000")"),
        configurationText(2, R"(,"priority":0e400)"),
        configurationText(2, R"(,"public":1)"),
        configurationText(2, "", R"(,"engine":7)"),
        configurationText(2, "", R"(,"engine":{"sets":1000000000,"experts":1000000000})"),
        configurationText(2, "", R"(,"engine":{"sets":1000000000})"),
        configurationText(2, "", "", R"(,"tenants":{})"),
        configurationText(2, "", "", R"(,"tenants":"none")"),
        configurationText(2, "", "", R"(,"tenants":[{"name":"w\r\nX-Key: k","api_keys":[]}])"),
        configurationText(2, "", "", R"(,"limits":[])"),
    };
    for (const auto& value : odd) {
        INFO(value.substr(0, 200));
        vm informed;
        informed.list({ { "op/config", configurationText(1), 1, 1 } }, 1);
        informed.follow({ "op/config", value, 5, 1 });
        CHECK(informed.version() == 1);
        vm started;
        started.list({ { "op/config", value, 5, 1 } }, 5);
        CHECK(started.version() == 0);
        CHECK_FALSE(started.state.summary() == informed.state.summary());
        started.mergeFrom(informed);
        CHECK(started.version() == 1);
        CHECK(started.state.summary() == informed.state.summary());
        // A listing shows the odd one again.
        informed.list({ { "op/config", value, 5, 1 } }, 6);
        CHECK(informed.version() == 1);
        for (auto* each : { &informed, &started }) {
            each->follow({ "op/config", configurationText(3), 7, 1 });
            CHECK(each->version() == 3);
            CHECK(each->state.summary().retained == 0);
        }
    }
}

TEST_CASE("a version that no later one could exceed is not put in force")
{
    const item_decoder decoder;
    std::string text = configurationText(1);
    text.replace(text.find(":1"), 2, ":18446744073709551615");
    CHECK_FALSE(decoder.configuration(text));
}

TEST_CASE("a number too large for its type is the largest one, on each kind of processor")
{
    const auto decoded = item_decoder().configuration(configurationText(1, R"(,"timeout_ms":1e300,"priority":1e300,"max_attempts":1e18,"target_gap_ms":null)", R"(,"max_connections":1e300,"engine":{"expert_mb":1e300,"kv_capacity_tokens":1e300})", R"(,"limits":{"max_header_bytes":1e300,"max_body_bytes":1e300,"idle_timeout_ms":1e300})"));
    REQUIRE(decoded);
    const auto& contents = decoded.value()->contents();
    const instant now = boot_clock::now();
    CHECK(now + contents.routes.front().timeout > now);
    CHECK(now + contents.limits.idleTimeout > now);
    CHECK(contents.routes.front().priority > 0);
    CHECK(contents.routes.front().maxAttempts > 0);
    CHECK(contents.services.front().maxConnections > 0);
    CHECK(contents.services.front().costs.cacheTokens > 0);
    CHECK(contents.limits.maxHeaderBytes > 0);
    CHECK(contents.limits.maxBodyBytes > 0);
}
