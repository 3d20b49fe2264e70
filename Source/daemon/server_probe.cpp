#include "daemon/server_probe.h"

#include "policy/requests/attempt_rules.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // An ending process closes its connections and its listening socket one after the other, and may be
    // descheduled in between. The kernel accepts connections for it meanwhile.
    constexpr milliseconds answerTimeout { 250 };
    // A working server at its connection limit closes each connection at once.
    constexpr int maxAttempts = 3;

    struct connection_probe {
        // Empty if the connection was made.
        boost::system::error_code connectError;
        // The connection was made, and closed or reset without an answer.
        bool closed = false;
        bool answered = false;
    };

    awaitable<connection_probe> connectAndSend(asio::io_context& io, tcp::endpoint endpoint, const http_request& probeRequest)
    {
        boost::beast::tcp_stream stream(io);
        stream.expires_after(serverConnectTimeout);
        connection_probe probe;
        const auto [connectError] = co_await stream.async_connect(endpoint, asTuple);
        probe.connectError = connectError;
        if (connectError)
            co_return probe;
        stream.expires_after(answerTimeout);
        // If this fails, the read below fails too and gives the reason.
        co_await http::async_write(stream, probeRequest, asTuple);
        char byte = 0;
        const auto [readError, size] = co_await stream.async_read_some(asio::buffer(&byte, 1), asTuple);
        probe.answered = !readError;
        probe.closed = readError && readError != boost::beast::error::timeout;
        co_return probe;
    }

} // namespace

// Only a refused connection proves that the process has ended, and only an answer that it works; a
// server that cannot be reached gives neither. A connection that is made proves nothing, since the
// kernel accepts it for an ending process, too.
awaitable<server_probe> probeServer(asio::io_context& io, std::string address, http_request probeRequest)
{
    server_probe outcome;
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        outcome.reason = endpoint.error().message;
        co_return outcome;
    }
    probeRequest.set(http::field::host, address);
    probeRequest.set(http::field::connection, "close");
    auto seen = co_await connectAndSend(io, endpoint.value(), probeRequest);
    for (int attempts = 1; seen.closed && attempts < maxAttempts; ++attempts)
        seen = co_await connectAndSend(io, endpoint.value(), probeRequest);
    if (seen.connectError == asio::error::connection_refused)
        outcome.liveness = server_liveness::gone;
    else if (seen.connectError)
        outcome.reason = seen.connectError.message();
    else
        outcome.liveness = seen.answered || seen.closed ? server_liveness::answers : server_liveness::listens;
    co_return outcome;
}

} // namespace rampgap
