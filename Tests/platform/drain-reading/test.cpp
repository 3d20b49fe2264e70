// A draining server still answers a request of which it has received only a part.
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

} // namespace

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
