// A draining server still answers a request of which it has received only a part, or whose connection it has not accepted yet.
#include "daemon/boot_timer.h"
#include "daemon/http_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>

using namespace rampgap;
namespace asio = boost::asio;

namespace {

constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

class echo_handler : public http_handler {
public:
    awaitable<void> handle(http_exchange& exchange) override
    {
        co_await exchange.send(makeResponse(200, "text/plain", exchange.request().body()));
    }
};

// Begins its answer and ends it once it is told to.
class slow_handler : public http_handler {
public:
    awaitable<void> handle(http_exchange& exchange) override
    {
        http_head head;
        head.result(200);
        co_await exchange.begin(std::move(head));
        m_begun = true;
        co_await m_end.async_wait(asTuple);
        co_await exchange.write("whole");
        co_await exchange.finish();
    }

    explicit slow_handler(process_context& context)
        : m_end(context.io(), boot_clock::time_point::max())
    {
    }

    bool begun() const { return m_begun; }
    void end() { m_end.cancel(); }

private:
    boot_timer m_end;
    bool m_begun = false;
};

struct received_answers {
    std::string partial;
    std::string idle;
};

awaitable<std::string> readToEnd(tcp::socket& socket)
{
    std::string text;
    co_await asio::async_read(socket, asio::dynamic_buffer(text), asTuple);
    co_return text;
}

awaitable<void> drainDuringRequest(process_context& context, http_server& server, received_answers& result)
{
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), server.port());
    tcp::socket partial(context.io());
    tcp::socket idle(context.io());
    co_await partial.async_connect(endpoint, asio::use_awaitable);
    co_await idle.async_connect(endpoint, asio::use_awaitable);
    co_await asio::async_write(partial, asio::buffer(std::string("POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhe")), asio::use_awaitable);
    // Waits until the server has accepted both connections and reads the first bytes of the request.
    while (server.openConnections() < 2) {
        boot_timer pause(context.io(), milliseconds(1));
        co_await pause.async_wait(asTuple);
    }
    server.drain();
    co_await asio::async_write(partial, asio::buffer(std::string("llo")), asio::use_awaitable);
    result.partial = co_await readToEnd(partial);
    result.idle = co_await readToEnd(idle);
    context.io().stop();
}

// A caller that has sent its request on a connection that the server has not accepted, and one whose request crosses the close of its
// idle connection.
awaitable<void> drainDuringConnect(process_context& context, http_server& server, received_answers& result)
{
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), server.port());
    const std::string request = "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nhello";
    tcp::socket idle(context.io());
    co_await idle.async_connect(endpoint, asio::use_awaitable);
    while (server.openConnections() < 1) {
        boot_timer pause(context.io(), milliseconds(1));
        co_await pause.async_wait(asTuple);
    }
    // Blocking calls: the server does not run between them and the drain.
    tcp::socket unaccepted(context.io());
    unaccepted.connect(endpoint);
    asio::write(unaccepted, asio::buffer(request));
    server.drain(makeFailure(notRun(failure_reason::leaving, "the server stops")));
    asio::write(idle, asio::buffer(request));
    result.partial = co_await readToEnd(unaccepted);
    result.idle = co_await readToEnd(idle);
    context.io().stop();
}

awaitable<void> drainDuringAnswer(process_context& context, http_server& server, slow_handler& handler, received_answers& result)
{
    tcp::socket caller(context.io());
    co_await caller.async_connect(tcp::endpoint(asio::ip::address_v4::loopback(), server.port()), asio::use_awaitable);
    co_await asio::async_write(caller, asio::buffer(std::string("GET / HTTP/1.1\r\nHost: x\r\n\r\n")), asio::use_awaitable);
    while (!handler.begun()) {
        boot_timer pause(context.io(), milliseconds(1));
        co_await pause.async_wait(asTuple);
    }
    server.drain(makeFailure(notRun(failure_reason::leaving, "the server stops")));
    handler.end();
    result.partial = co_await readToEnd(caller);
    context.io().stop();
}

awaitable<void> drainWhileIdle(process_context& context, http_server& server, received_answers& result)
{
    const tcp::endpoint endpoint(asio::ip::address_v4::loopback(), server.port());
    tcp::socket idle(context.io());
    co_await idle.async_connect(endpoint, asio::use_awaitable);
    while (server.openConnections() < 1) {
        boot_timer pause(context.io(), milliseconds(1));
        co_await pause.async_wait(asTuple);
    }
    server.drain(makeFailure(notRun(failure_reason::leaving, "the server stops")));
    result.idle = co_await readToEnd(idle);
    context.io().stop();
}

} // namespace

TEST_CASE("a request that waits in the kernel as the server drains is answered, not reset")
{
    process_context context("server", "a", "test");
    echo_handler handler;
    auto server = http_server::listen(context, "127.0.0.1:0", {}, handler);
    REQUIRE(server);
    received_answers result;
    asio::co_spawn(context.io(), drainDuringConnect(context, *server.value(), result), asio::detached);
    context.io().run();
    CHECK(result.partial.ends_with("hello"));
    CHECK(result.partial.find("Connection: close") != std::string::npos);
    CHECK(result.idle.ends_with("hello"));
}

TEST_CASE("a connection that an answer promised to keep is told before its close that what crosses it has not run")
{
    process_context context("server", "a", "test");
    slow_handler handler(context);
    auto server = http_server::listen(context, "127.0.0.1:0", {}, handler);
    REQUIRE(server);
    received_answers result;
    asio::co_spawn(context.io(), drainDuringAnswer(context, *server.value(), handler, result), asio::detached);
    context.io().run();
    const auto end = result.partial.find("0\r\n\r\n");
    REQUIRE(end != std::string::npos);
    CHECK(result.partial.substr(0, end).find("Connection: close") == std::string::npos);
    CHECK(result.partial.find("Rampgap-Verdict: not_run", end) != std::string::npos);
}

TEST_CASE("an idle connection is told before its close that what crosses it has not run")
{
    process_context context("server", "a", "test");
    echo_handler handler;
    auto server = http_server::listen(context, "127.0.0.1:0", {}, handler);
    REQUIRE(server);
    received_answers result;
    asio::co_spawn(context.io(), drainWhileIdle(context, *server.value(), result), asio::detached);
    context.io().run();
    CHECK(result.idle.starts_with("HTTP/1.1 503"));
    CHECK(result.idle.find("Rampgap-Verdict: not_run") != std::string::npos);
    CHECK(result.idle.find("Connection: close") != std::string::npos);
}

TEST_CASE("draining closes idle connections and answers the request that is being received")
{
    process_context context("server", "a", "test");
    echo_handler handler;
    auto server = http_server::listen(context, "127.0.0.1:0", {}, handler);
    REQUIRE(server);
    received_answers result;
    asio::co_spawn(context.io(), drainDuringRequest(context, *server.value(), result), asio::detached);
    context.io().run();
    CHECK(result.partial.find("200 OK") != std::string::npos);
    CHECK(result.partial.find("Connection: close") != std::string::npos);
    CHECK(result.partial.ends_with("hello"));
    CHECK(result.idle.empty());
}
