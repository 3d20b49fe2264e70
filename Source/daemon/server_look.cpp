#include "daemon/server_look.h"

#include "policy/attempt_rules.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // A process that ends closes its connections and the socket on which it listens one after the
    // other, and may lose the processor in between: its system lets connections in meanwhile.
    constexpr milliseconds pingTimeout { 250 };
    // A server that has no room for connections closes each at once, and lives.
    constexpr int mostLooks = 3;

    struct connection_look {
        // Empty if the connection was made.
        boost::system::error_code refused;
        // It was let in, and its connection was closed without an answer.
        bool closed = false;
        bool answered = false;
    };

    awaitable<connection_look> connectAndAsk(asio::io_context& io, tcp::endpoint endpoint, const http_request& ping)
    {
        boost::beast::tcp_stream stream(io);
        stream.expires_after(serverConnectTimeout);
        connection_look look;
        const auto [refused] = co_await stream.async_connect(endpoint, asTuple);
        look.refused = refused;
        if (refused)
            co_return look;
        stream.expires_after(pingTimeout);
        // Where this fails, so does reading, and says why.
        co_await http::async_write(stream, ping, asTuple);
        char byte = 0;
        const auto [ended, size] = co_await stream.async_read_some(asio::buffer(&byte, 1), asTuple);
        look.answered = !ended;
        look.closed = ended && ended != boost::beast::error::timeout;
        co_return look;
    }

} // namespace

// A refused connection is the one sure sign of an ended process, and an answer the one of a process
// that works; one that is cut off does neither. A connection that is let in is no sign: the system
// does that for a process that is ending, too.
awaitable<look_outcome> lookAtServer(asio::io_context& io, std::string address, http_request ping)
{
    look_outcome outcome;
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        outcome.reason = endpoint.error().message;
        co_return outcome;
    }
    ping.set(http::field::host, address);
    ping.set(http::field::connection, "close");
    auto seen = co_await connectAndAsk(io, endpoint.value(), ping);
    for (int looks = 1; seen.closed && looks < mostLooks; ++looks)
        seen = co_await connectAndAsk(io, endpoint.value(), ping);
    if (seen.refused == asio::error::connection_refused)
        outcome.sight = server_sight::gone;
    else if (seen.refused)
        outcome.reason = seen.refused.message();
    else
        outcome.sight = seen.answered || seen.closed ? server_sight::answers : server_sight::listens;
    co_return outcome;
}

} // namespace rampgap
