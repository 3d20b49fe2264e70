// Load pattern: all processes restart at once, and their callers retry before the first configuration
// has been read.
#include "daemon/boot_timer.h"
#include "gateway/requests/gateway_server.h"
#include "platform/http_codec.h"
#include "platform/item_decoder.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <doctest/doctest.h>
#include <unistd.h>

using namespace rampgap;

namespace {

namespace asio = boost::asio;

const std::string configurationText = R"({"version":7,"routes":[{"name":"chat","host":"h","path_prefix":"/a/","type":"streaming","service":"m"}],"services":[{"name":"m","health_path":"/hz"}],"tenants":[{"name":"w","api_keys":["k1"]}]})";

// One request, by default for a path without a route.
class one_exchange : public http_exchange {
public:
    explicit one_exchange(const std::string& path = "/nowhere")
    {
        m_request.method(http::verb::get);
        m_request.target(path);
        m_request.set(http::field::host, "h");
        m_request.set("X-Attempt-Id", "id1");
    }
    const http_request& request() const override { return m_request; }
    instant receivedAt() const override { return m_receivedAt; }
    awaitable<bool> send(http_response response) override
    {
        status = static_cast<int>(response.result_int());
        answeredAfter = boot_clock::now() - m_receivedAt;
        co_return true;
    }
    awaitable<bool> begin(http_head) override { co_return true; }
    awaitable<bool> write(std::string_view) override { co_return true; }
    awaitable<bool> finish() override { co_return true; }
    void closeAfterAnswer() override { }
    void abort() override { }
    bool begun() const override { return false; }
    bool callerGone() const override { return gone; }
    void onCallerGone(std::function<void()>) override { }

    int status = 0;
    duration answeredAfter {};
    bool gone = false;

private:
    instant m_receivedAt = boot_clock::now();
    http_request m_request;
};

struct starting_entry {
    process_context context { "entry", "a", "entry" };
    decision_log log { "entry", STDERR_FILENO };
    platform::http_codec codec;
    platform::item_decoder decoder;
    fleet_state state { context, log, decoder, milliseconds(0) };
    load_table loads { milliseconds(400) };
    group_directory groups { milliseconds(1'500) };
    crash_history history;
    server_backpressure backpressure;
    upstream_dispatcher dispatcher { context, log, codec, state, loads, groups, history, backpressure, retry_bounds {}, 16'000'000 };
    gateway_server server { context, log, codec, state, dispatcher, freshness_rule(true, milliseconds(5'000), milliseconds(1'400)) };

    void serve(one_exchange& exchange) { asio::co_spawn(context.io(), server.handle(exchange), asio::detached); }
};

} // namespace

TEST_CASE("a request that arrives before the first configuration is answered by it")
{
    starting_entry process;
    one_exchange exchange;
    process.serve(exchange);
    boot_timer reading(process.context.io(), milliseconds(60));
    reading.async_wait([&](boost::system::error_code) {
        CHECK(exchange.status == 0);
        process.state.applySnapshot(published_snapshot { { { "op/config", configurationText, 3, 3 } }, 3 }, process.context.now());
    });
    process.context.io().run();
    CHECK(exchange.status == 404);
}

TEST_CASE("without a configuration the caller is told to retry, and a disconnected caller is not held")
{
    starting_entry process;
    one_exchange waiting;
    one_exchange left;
    left.gone = true;
    process.serve(waiting);
    process.serve(left);
    process.context.io().run();
    CHECK(waiting.status == 503);
    CHECK(process.server.inFlight() == 0);
}

TEST_CASE("a request whose key cannot be verified yet waits until the state is fresh")
{
    starting_entry process;
    const published_snapshot snapshot { { { "op/config", configurationText, 3, 3 } }, 3 };
    process.state.applySnapshot(snapshot, process.context.now() - milliseconds(4'000));
    // Its key is unknown, which can only be answered once the state is known to be fresh.
    one_exchange exchange("/a/x");
    process.serve(exchange);
    boot_timer proof(process.context.io(), milliseconds(60));
    proof.async_wait([&](boost::system::error_code) {
        CHECK(exchange.status == 0);
        process.state.mergePeerFreshness({ { 0, 3 }, 0 }, process.context.now());
    });
    process.context.io().run();
    CHECK(exchange.status == 401);
}

TEST_CASE("callers are not held once the state has been stale for long")
{
    starting_entry process;
    const published_snapshot snapshot { { { "op/config", configurationText, 3, 3 } }, 3 };
    process.state.applySnapshot(snapshot, process.context.now() - milliseconds(30'000));
    one_exchange exchange("/a/x");
    process.serve(exchange);
    process.context.io().run();
    CHECK(exchange.status == 503);
    CHECK(exchange.answeredAfter < milliseconds(500));
}
