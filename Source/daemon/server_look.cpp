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

    struct connection_look {
        // Empty if the connection was made.
        boost::system::error_code refused;
        // It was let in, and its connection was closed at once.
        bool closed = false;
    };

    awaitable<connection_look> connectAndStay(asio::io_context& io, tcp::endpoint endpoint)
    {
        boost::beast::tcp_stream stream(io);
        stream.expires_after(serverConnectTimeout);
        connection_look look;
        const auto [refused] = co_await stream.async_connect(endpoint, asTuple);
        look.refused = refused;
        if (refused)
            co_return look;
        stream.expires_after(staysIn);
        char byte = 0;
        const auto [ended, size] = co_await stream.async_read_some(asio::buffer(&byte, 1), asTuple);
        look.closed = ended && ended != boost::beast::error::timeout;
        co_return look;
    }

} // namespace

// A refused connection is the one sure sign of an ended process: a server that only broke off
// its calls, or whose group stands still, goes on listening; one that is cut off does not answer.
awaitable<look_outcome> lookAtServer(asio::io_context& io, std::string address)
{
    look_outcome outcome;
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        outcome.reason = endpoint.error().message;
        co_return outcome;
    }
    auto seen = co_await connectAndStay(io, endpoint.value());
    for (int looks = 1; seen.closed && looks < mostLooks; ++looks)
        seen = co_await connectAndStay(io, endpoint.value());
    if (seen.refused == asio::error::connection_refused)
        outcome.sight = server_sight::gone;
    else if (seen.refused)
        outcome.reason = seen.refused.message();
    else
        outcome.sight = server_sight::listens;
    co_return outcome;
}

} // namespace rampgap
