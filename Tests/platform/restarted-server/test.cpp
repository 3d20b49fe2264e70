// A server that was restarted under its id has lost its calls: they are cancelled at once. Copies of a
// suspected request are withdrawn while their answers have not begun.
#include "daemon/boot_timer.h"
#include "gateway/requests/call_registry.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <doctest/doctest.h>

using namespace rampgap;

namespace {

namespace asio = boost::asio;
constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

// Accepts the request and never answers.
awaitable<void> neverAnswer(tcp::acceptor& acceptor)
{
    auto [error, socket] = co_await acceptor.async_accept(asTuple);
    REQUIRE_FALSE(error);
    std::array<char, 4'096> piece {};
    boost::system::error_code end;
    while (!end)
        end = std::get<0>(co_await socket.async_read_some(asio::buffer(piece), asTuple));
}

awaitable<void> start(http_call& call, std::string address, milliseconds timeout, std::optional<failure>& failed)
{
    http_request request { http::verb::post, "/draft", 11 };
    const auto head = co_await call.start(std::move(address), std::move(request), boot_clock::now() + timeout);
    if (!head)
        failed = head.error();
}

struct silent_server {
    explicit silent_server(asio::io_context& io)
        : acceptor(io, { asio::ip::address_v4::loopback(), 0 })
    {
        asio::co_spawn(io, neverAnswer(acceptor), asio::detached);
    }
    std::string address() const { return "127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()); }

    tcp::acceptor acceptor;
};

} // namespace

TEST_CASE("calls of a request whose answers have not begun are withdrawn, others go on")
{
    process_context context { "caller", "a", "test" };
    http_client client { context };
    http_call copy(client);
    http_call begunCopy(client);
    http_call other(client);
    http_call plain(client);
    call_registry calls;
    constexpr request_fingerprint suspected { 1 };
    const call_registry::registration ofCopy(calls, "a", copy, { suspected });
    call_registry::registration ofBegunCopy(calls, "b", begunCopy, { suspected });
    const call_registry::registration ofOther(calls, "a", other, { request_fingerprint { 2 } });
    const call_registry::registration ofPlain(calls, "a", plain);
    ofBegunCopy.recordFirstBytes();
    CHECK(calls.withdraw(suspected) == 1);
    CHECK(calls.withdraw(suspected) == 0);
    CHECK(ofCopy.withdrawn());
    CHECK_FALSE(ofBegunCopy.withdrawn());
    CHECK_FALSE(ofOther.withdrawn());
    CHECK_FALSE(ofPlain.withdrawn());
    CHECK_FALSE(ofCopy.cancelled());
}

TEST_CASE("calls at a restarted server are cancelled at once, others go on")
{
    constexpr milliseconds longest { 60'000 };
    process_context context { "caller", "a", "test" };
    http_client client { context };
    silent_server restarted(context.io());
    silent_server elsewhere(context.io());
    http_call lost(client);
    http_call other(client);
    call_registry calls;
    const call_registry::registration atRestarted(calls, "restarted", lost);
    const call_registry::registration atOther(calls, "other", other);
    std::optional<failure> lostFailed;
    std::optional<failure> otherFailed;
    std::size_t ended = 0;
    const instant began = boot_clock::now();
    asio::co_spawn(
        context.io(), [&]() -> awaitable<void> {
            co_await start(lost, restarted.address(), longest, lostFailed);
            CHECK_FALSE(otherFailed);
            other.cancel();
        },
        asio::detached);
    asio::co_spawn(context.io(), start(other, elsewhere.address(), longest, otherFailed), asio::detached);
    boot_timer restart(context.io(), milliseconds(20));
    restart.async_wait([&](boost::system::error_code) { ended = calls.cancelAll("restarted"); });
    context.io().run();
    CHECK(ended == 1);
    CHECK(atRestarted.cancelled());
    CHECK_FALSE(atOther.cancelled());
    REQUIRE(lostFailed);
    CHECK((lostFailed->ran == verdict::may_have_run));
    CHECK(boot_clock::now() - began < longest / 2);
}
