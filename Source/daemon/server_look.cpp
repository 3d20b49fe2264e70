#include "daemon/server_look.h"

#include "policy/try_rules.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // A process that ends closes its connections and the socket on which it listens one after the
    // other, and may lose the processor in between: whoever is let in looks whether it stays in.
    constexpr milliseconds staysIn { 50 };
    // A server that has no room for connections closes each at once, and lives.
    constexpr int mostLooks = 3;

    enum class look_result { refused,
        letIn,
        closed,
        noAnswer };

    awaitable<look_result> connectAndStay(asio::io_context& io, tcp::endpoint endpoint)
    {
        boost::beast::tcp_stream stream(io);
        stream.expires_after(serverConnectTimeout);
        const auto [refused] = co_await stream.async_connect(endpoint, asTuple);
        if (refused)
            co_return refused == asio::error::connection_refused ? look_result::refused : look_result::noAnswer;
        stream.expires_after(staysIn);
        char byte = 0;
        const auto [ended, size] = co_await stream.async_read_some(asio::buffer(&byte, 1), asTuple);
        co_return !ended || ended == boost::beast::error::timeout ? look_result::letIn : look_result::closed;
    }

} // namespace

// A refused connection is the one sure sign of an ended process: a server that only broke off
// its calls, or whose group stands still, goes on listening; one that is cut off does not answer.
awaitable<server_sight> lookAtServer(asio::io_context& io, std::string address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        co_return server_sight::unknown;
    auto seen = co_await connectAndStay(io, endpoint.value());
    for (int looks = 1; seen == look_result::closed && looks < mostLooks; ++looks)
        seen = co_await connectAndStay(io, endpoint.value());
    if (seen == look_result::refused)
        co_return server_sight::gone;
    co_return seen == look_result::noAnswer ? server_sight::unknown : server_sight::listens;
}

} // namespace rampgap
