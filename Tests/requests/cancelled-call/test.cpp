// Guards against requests that reach a stalled server after their caller has left: if the connection of an abandoned call
// is closed without a reset, the kernel still delivers the unread request later.
#include "daemon/http_client.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

using namespace rampgap;

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

struct received_data {
    std::string bytes;
    boost::system::error_code end;
};

// Reads what the client sends until the connection is closed or reset.
awaitable<void> readToEnd(tcp::acceptor& acceptor, http_call& call, bool cancels, received_data& result)
{
    auto [error, socket] = co_await acceptor.async_accept(asTuple);
    REQUIRE_FALSE(error);
    std::array<char, 4'096> piece {};
    while (!result.end) {
        const auto [readError, size] = co_await socket.async_read_some(asio::buffer(piece), asTuple);
        result.bytes.append(piece.data(), size);
        result.end = readError;
        if (cancels && size > 0)
            call.cancel();
    }
}

awaitable<void> start(http_call& call, std::string address, milliseconds timeout, std::optional<failure>& failed)
{
    http_request request { http::verb::post, "/draft", 11 };
    const auto head = co_await call.start(std::move(address), std::move(request), boot_clock::now() + timeout);
    if (!head)
        failed = head.error();
}

struct test_connection {
    process_context context { "caller", "a", "test" };
    http_client client { context };
    tcp::acceptor acceptor { context.io(), { asio::ip::address_v4::loopback(), 0 } };
    received_data server;
    std::optional<failure> failed;

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
};

} // namespace

TEST_CASE("a call that is cancelled is reset")
{
    test_connection connection;
    http_call call(connection.client);
    asio::co_spawn(connection.context.io(), readToEnd(connection.acceptor, call, true, connection.server), asio::detached);
    asio::co_spawn(connection.context.io(), start(call, connection.address(), milliseconds(10'000), connection.failed), asio::detached);
    connection.context.io().run();
    CHECK(connection.server.end == asio::error::connection_reset);
    REQUIRE(connection.failed);
    CHECK((connection.failed->ran == verdict::may_have_run));
}

TEST_CASE("a call that is destroyed before its answer is reset")
{
    test_connection connection;
    auto call = std::make_unique<http_call>(connection.client);
    asio::co_spawn(connection.context.io(), readToEnd(connection.acceptor, *call, false, connection.server), asio::detached);
    // The server never answers, so the call ends at its deadline.
    asio::co_spawn(
        connection.context.io(), [&]() -> awaitable<void> {
            co_await start(*call, connection.address(), milliseconds(50), connection.failed);
            call.reset();
        },
        asio::detached);
    connection.context.io().run();
    CHECK(connection.server.end == asio::error::connection_reset);
    CHECK(connection.failed);
}
