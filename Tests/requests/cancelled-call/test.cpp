// A call that is given up is reset, so that nothing of it is delivered later.
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

struct seen {
    std::string bytes;
    boost::system::error_code end;
};

// Reads what a caller sends, until the connection ends in one way or the other.
awaitable<void> readToEnd(tcp::acceptor& acceptor, http_call& call, bool cancels, seen& result)
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

struct conversation {
    process_context context { "caller", "a", "test" };
    http_client client { context };
    tcp::acceptor acceptor { context.io(), { asio::ip::address_v4::loopback(), 0 } };
    seen server;
    std::optional<failure> failed;

    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }
};

} // namespace

TEST_CASE("a call whose caller left is reset")
{
    conversation talk;
    http_call call(talk.client);
    asio::co_spawn(talk.context.io(), readToEnd(talk.acceptor, call, true, talk.server), asio::detached);
    asio::co_spawn(talk.context.io(), start(call, talk.address(), milliseconds(10'000), talk.failed), asio::detached);
    talk.context.io().run();
    CHECK(talk.server.end == asio::error::connection_reset);
    REQUIRE(talk.failed);
    CHECK((talk.failed->ran == verdict::may_have_run));
}

TEST_CASE("a call that is dropped without its answer is reset")
{
    conversation talk;
    auto call = std::make_unique<http_call>(talk.client);
    asio::co_spawn(talk.context.io(), readToEnd(talk.acceptor, *call, false, talk.server), asio::detached);
    // The server never answers, and the call ends by its deadline.
    asio::co_spawn(
        talk.context.io(), [&]() -> awaitable<void> {
            co_await start(*call, talk.address(), milliseconds(50), talk.failed);
            call.reset();
        },
        asio::detached);
    talk.context.io().run();
    CHECK(talk.server.end == asio::error::connection_reset);
    CHECK(talk.failed);
}
