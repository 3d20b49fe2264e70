#include "daemon/http_client.h"

#include "daemon/boot_timer.h"
#include <algorithm>
#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <charconv>
#include <netinet/in.h>
#include <optional>
#include <sys/socket.h>

namespace rampgap {

namespace beast = boost::beast;
namespace asio = boost::asio;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t pieceBytes = 16'384;
    constexpr std::size_t maxIdlePerAddress = 64;
    // Below the servers' idle timeout, so that a server seldom closes a connection as it is reused.
    constexpr milliseconds maxIdleTime { 10'000 };
    constexpr milliseconds closingMargin { 500 };
    // A longer time that a server states says no more: it is beyond `maxIdleTime`.
    constexpr std::int64_t maxStatedSeconds = 3'600;
    // The HTTP library ends the process if a field of a head or trailer has 65,534 bytes or more.
    constexpr std::uint32_t maxHeadBytes = 65'000;
    // Interim answers that a server may send before the final one: each is as large as a head may be.
    constexpr int maxInterimAnswers = 8;
    constexpr unsigned firstInterimStatus = 100;
    constexpr unsigned firstFinalStatus = 200;

    // Chunks are taken out of an answer, and what remains is passed on as its body: under any other coding these are not its bytes. Where a
    // length stands beside the coding, the two tell of different ends.
    bool hasUnknownCoding(const http_head& head)
    {
        const auto codings = head.count(http::field::transfer_encoding);
        return codings > 1 || (codings == 1 && !beast::iequals(head[http::field::transfer_encoding], "chunked"));
    }

    // Fields that concern the connection to the server only, by their names or since "Connection" lists them. A caller that got them
    // would take them for its own connection's.
    void eraseConnectionFields(http_head& head)
    {
        std::vector<std::string> listed { "Keep-Alive", "Proxy-Connection", "TE", "Trailer", "Upgrade", "Connection" };
        const auto [begin, end] = head.equal_range(http::field::connection);
        for (auto field = begin; field != end; ++field) {
            for (const auto& name : http::token_list(field->value()))
                listed.emplace_back(name);
        }
        for (const auto& name : listed)
            head.erase(name);
    }

    failure connectionFailure(verdict ran, const std::string& what, const beast::error_code& error)
    {
        const bool timedOut = error == beast::error::timeout;
        return { ran, timedOut ? failure_reason::deadline : failure_reason::connection_lost, what + ": " + error.message(), std::nullopt };
    }

    // How long a connection may stay idle and still be reused: the timeout that the server states,
    // less a margin in which its close and our next request may cross.
    milliseconds reusableTime(const http_head& head)
    {
        constexpr std::string_view key = "timeout=";
        const std::string text = headerText(head, "Keep-Alive");
        const auto at = text.find(key);
        if (at == std::string::npos)
            return maxIdleTime;
        std::int64_t seconds = 0;
        const auto parsed = std::from_chars(text.data() + at + key.size(), text.data() + text.size(), seconds);
        // Beyond the numbers' range on either side of zero.
        if (parsed.ec == std::errc::result_out_of_range)
            seconds = text[at + key.size()] == '-' ? 0 : maxStatedSeconds;
        return std::min(maxIdleTime, milliseconds(std::clamp<std::int64_t>(seconds, 0, maxStatedSeconds) * 1'000) - closingMargin);
    }

    // True if the server closed the connection or sent data without a request.
    bool isUnusable(tcp::socket& socket)
    {
        char byte = 0;
        beast::error_code error;
        socket.non_blocking(true, error);
        socket.receive(asio::buffer(&byte, 1), tcp::socket::message_peek, error);
        return error != asio::error::would_block;
    }

    // Chooses the local address of a connection that is opened next. Without success the operating system chooses it.
    void bindTo(tcp::socket& socket, const asio::ip::address& address)
    {
        constexpr int on = 1;
        const tcp::endpoint local(address, 0);
        beast::error_code ignored;
        socket.open(local.protocol(), ignored);
        // The port is chosen as the connection is opened, when the peer is known: otherwise no two connections could share one.
        ::setsockopt(socket.native_handle(), IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &on, sizeof(on));
        socket.bind(local, ignored);
    }

} // namespace

struct http_call::connection {
    explicit connection(asio::io_context& io)
        : stream(io)
        , buffer(maxHeadBytes)
    {
    }

    beast::tcp_stream stream;
    // Bounded: chunk heads and trailers are kept here until they end, and a faulty server's may not end.
    beast::flat_buffer buffer;
    std::optional<http::response_parser<http::buffer_body>> parser;
    std::array<char, pieceBytes> piece;
    instant deadline;
};

http_call::http_call(http_client& client)
    : m_client(client)
{
}

http_call::~http_call() = default;

void http_call::cancel()
{
    m_cancelled = true;
    if (m_connection)
        m_connection->stream.close();
}

// After a plain close the kernel still delivers unsent data to a machine that is stalled, and its
// server would receive the request seconds after the caller has disconnected.
void http_call::resetOnClose(bool reset)
{
    constexpr int noLinger = 0;
    beast::error_code ignored;
    m_connection->stream.socket().set_option(asio::socket_base::linger(reset, noLinger), ignored);
}

awaitable<result<void>> http_call::connect(const std::string& address, instant deadline)
{
    if (!m_connection && !m_freshConnection)
        m_connection = m_client.popIdle(address);
    m_firstOnConnection = !m_connection;
    if (m_connection)
        co_return boost::outcome_v2::success();
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        co_return endpoint.error();
    m_connection = std::make_unique<connection>(m_client.m_context.io());
    if (endpoint.value().address() == m_client.m_ownAddress)
        bindTo(m_connection->stream.socket(), endpoint.value().address());
    expireStreamAt(m_connection->stream, std::min(deadline, m_client.m_context.now() + m_client.m_connectTimeout));
    const auto [error] = co_await m_connection->stream.async_connect(endpoint.value(), asTuple);
    if (error) {
        m_connection.reset();
        m_refused = error == asio::error::connection_refused;
        failure failed = connectionFailure(verdict::not_run, "cannot connect to " + address, error);
        failed.reason = failure_reason::connection_lost;
        co_return failed;
    }
    beast::error_code ignored;
    m_connection->stream.socket().set_option(tcp::no_delay(true), ignored);
    co_return boost::outcome_v2::success();
}

awaitable<result<http_head>> http_call::start(std::string address, http_request request, instant deadline)
{
    m_address = std::move(address);
    if (m_client.m_context.isCut(m_address))
        co_return notRun(failure_reason::connection_lost, "cut off from " + m_address);
    const auto connected = co_await connect(m_address, deadline);
    if (!connected)
        co_return connected.error();
    if (m_cancelled)
        co_return notRun(failure_reason::connection_lost, "the caller disconnected");

    resetOnClose(true);
    if (request.find(http::field::host) == request.end())
        request.set(http::field::host, m_address);
    request.keep_alive(true);
    request.prepare_payload();
    setDeadline(deadline);
    const auto [writeError, written] = co_await http::async_write(m_connection->stream, request, asTuple);
    // A server may run a request before it has read all of it.
    if (writeError)
        co_return connectionFailure(written == 0 ? verdict::not_run : verdict::may_have_run, "cannot send to " + m_address, writeError);

    const auto received = co_await readHead(request.method() != http::verb::head);
    if (!received)
        co_return received.error();
    if (m_client.m_context.isCut(m_address)) {
        cancel();
        co_return mayHaveRun(failure_reason::connection_lost, "cut off from " + m_address);
    }
    // An answer that never has a body is whole with its head, also without a length.
    m_framed = !m_connection->parser->need_eof();
    http_head head = m_connection->parser->get().base();
    eraseConnectionFields(head);
    co_return head;
}

awaitable<result<void>> http_call::readHead(bool hasBody)
{
    for (int interim = 0; interim <= maxInterimAnswers; ++interim) {
        auto& parser = m_connection->parser.emplace();
        parser.header_limit(maxHeadBytes);
        parser.body_limit(boost::none);
        parser.skip(!hasBody);
        const auto [error, bytes] = co_await http::async_read_header(m_connection->stream, m_connection->buffer, parser, asTuple);
        if (error)
            co_return connectionFailure(verdict::may_have_run, "no answer from " + m_address, error);
        const auto& head = parser.get();
        // By number: the HTTP library has no name for some.
        const unsigned status = head.result_int();
        if (status == static_cast<unsigned>(http::status::switching_protocols))
            co_return mayHaveRun(failure_reason::backend_error, m_address + " switches to a protocol that nobody asked for");
        // What follows the head may be its body: it must not be read as the answer.
        if (status < firstInterimStatus)
            co_return mayHaveRun(failure_reason::backend_error, m_address + " answers with the status " + std::to_string(status) + ", which is none of HTTP's");
        if (status >= firstFinalStatus && hasUnknownCoding(head))
            co_return mayHaveRun(failure_reason::backend_error, "the answer of " + m_address + " has the transfer coding '" + headerText(head, "Transfer-Encoding") + "', which nobody asked for");
        if (status >= firstFinalStatus)
            co_return boost::outcome_v2::success();
    }
    co_return mayHaveRun(failure_reason::backend_error, "more than " + std::to_string(maxInterimAnswers) + " interim answers from " + m_address);
}

std::optional<std::uint64_t> http_call::statedLength() const
{
    if (!m_connection || !m_connection->parser)
        return std::nullopt;
    const auto length = m_connection->parser->content_length();
    return length ? std::optional<std::uint64_t>(*length) : std::nullopt;
}

void http_call::setDeadline(instant deadline)
{
    m_deadline = deadline;
    expireStreamAt(m_connection->stream, deadline);
}

void http_call::expireAt(instant deadline)
{
    if (m_connection)
        setDeadline(deadline);
}

awaitable<result<std::string_view>> http_call::read()
{
    if (!m_connection || m_cancelled)
        co_return mayHaveRun(failure_reason::connection_lost, "the call was cancelled");
    auto& parser = *m_connection->parser;
    while (!parser.is_done()) {
        parser.get().body().data = m_connection->piece.data();
        parser.get().body().size = pieceBytes;
        auto [error, bytes] = co_await http::async_read_some(m_connection->stream, m_connection->buffer, parser, asTuple);
        if (error == http::error::need_buffer)
            error = {};
        if (!error && !parser.is_done() && m_client.m_context.now() >= m_deadline)
            error = beast::error::timeout;
        if (error) {
            // Nothing more is read, so a server that sends without end is stopped now.
            m_connection->stream.close();
            co_return connectionFailure(verdict::may_have_run, "the answer of " + m_address + " is incomplete", error);
        }
        const std::size_t received = pieceBytes - parser.get().body().size;
        if (received > 0)
            co_return std::string_view(m_connection->piece.data(), received);
    }
    returnToPool();
    co_return std::string_view {};
}

awaitable<result<std::string>> http_call::readAll(std::size_t limit)
{
    std::string body;
    for (;;) {
        const auto piece = co_await read();
        if (!piece)
            co_return piece.error();
        if (piece.value().empty())
            co_return body;
        if (body.size() + piece.value().size() > limit) {
            cancel();
            co_return mayHaveRun(failure_reason::too_large, "the answer of " + m_address + " is too large");
        }
        body.append(piece.value());
    }
}

void http_call::returnToPool()
{
    resetOnClose(false);
    const milliseconds reusableFor = reusableTime(m_connection->parser->get());
    if (!m_connection->parser->keep_alive() || m_connection->buffer.size() > 0 || reusableFor <= milliseconds(0)) {
        m_connection.reset();
        return;
    }
    if (m_keepForNext)
        return;
    m_connection->stream.expires_never();
    auto& idle = m_client.m_idle[m_address];
    if (idle.size() < maxIdlePerAddress)
        idle.push_back({ std::move(m_connection), m_client.m_context.now() + reusableFor });
    m_connection.reset();
}

http_client::http_client(process_context& context, milliseconds connectTimeout)
    : m_context(context)
    , m_connectTimeout(connectTimeout)
{
}

http_client::~http_client() = default;

void http_client::closeIdle(const std::string& address)
{
    m_idle.erase(address);
}

std::unique_ptr<http_call::connection> http_client::popIdle(const std::string& address)
{
    auto& idle = m_idle[address];
    while (!idle.empty()) {
        idle_connection last = std::move(idle.back());
        idle.pop_back();
        if (m_context.now() < last.usableUntil && !isUnusable(last.connection->stream.socket()))
            return std::move(last.connection);
    }
    return nullptr;
}

awaitable<result<http_response>> http_client::fetch(std::string address, http_request request, milliseconds timeout, std::size_t limit)
{
    http_call call(*this);
    auto head = co_await call.start(std::move(address), std::move(request), m_context.now() + timeout);
    if (!head)
        co_return head.error();
    auto body = co_await call.readAll(limit);
    if (!body)
        co_return body.error();
    http_response response;
    response.base() = std::move(head.value());
    response.body() = std::move(body.value());
    co_return response;
}

} // namespace rampgap
