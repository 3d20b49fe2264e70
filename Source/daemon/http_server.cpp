#include "daemon/http_server.h"

#include "daemon/boot_timer.h"
#include "daemon/chunk_writer.h"
#include "daemon/log.h"
#include "daemon/scope_exit.h"
#include "daemon/sleep.h"
#include "daemon/task.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <optional>
#include <tuple>

namespace rampgap {

namespace beast = boost::beast;
namespace asio = boost::asio;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr milliseconds acceptBackoff { 20 };
    constexpr std::size_t firstReadBytes = 4'096;
    // The HTTP library ends the process if a field of a head or trailer has 65,534 bytes or more.
    constexpr std::uint32_t largestHead = 65'000;
    // Each field takes several times its size in memory.
    constexpr std::ptrdiff_t maxFields = 256;
    // Bytes of a request that do not count towards those of all requests.
    constexpr std::size_t unsharedRequestBytes = 4'096;
    constexpr milliseconds heldBytesRetryAfter { 250 };
    // After a refusal, what its caller is still sending is discarded for this long: with unread bytes the close would be a
    // reset, which may overtake the refusal.
    constexpr milliseconds lingerTime { 250 };

    std::uint32_t headLimit(const http_limits& limits)
    {
        return std::min(limits.maxHeaderBytes, largestHead);
    }

    failure requestReadFailure(const beast::error_code& error)
    {
        if (error == http::error::buffer_overflow)
            return notRun(failure_reason::headers_too_large, "a chunk's head or the trailers exceed the limit of this server");
        if (error == http::error::body_limit)
            return notRun(failure_reason::too_large, "the request body exceeds the limit of this server");
        if (error == http::error::header_limit)
            return notRun(failure_reason::headers_too_large, "the request headers exceed the limit of this server");
        return notRun(failure_reason::invalid_request, "malformed HTTP: " + error.message());
    }

    // Callers read an answer with such a status to the end of its head.
    bool hasBody(const http_head& head)
    {
        return head.result() != http::status::no_content && head.result() != http::status::not_modified;
    }

    // Refuses framing that two programs may interpret differently: it allows request smuggling.
    std::optional<failure> framingFailure(const http_request& request)
    {
        if (request.count(http::field::host) != 1)
            return notRun(failure_reason::invalid_request, "the request must have exactly one Host header");
        if (std::distance(request.begin(), request.end()) > maxFields)
            return notRun(failure_reason::headers_too_large, "the request has more than " + std::to_string(maxFields) + " header fields");
        const auto coding = request.count(http::field::transfer_encoding);
        if (coding > 0 && request.count(http::field::content_length) > 0)
            return notRun(failure_reason::invalid_request, "the request has both Content-Length and Transfer-Encoding; send only one");
        if (coding > 1 || (coding == 1 && !beast::iequals(request[http::field::transfer_encoding], "chunked")))
            return notRun(failure_reason::not_implemented, "unsupported transfer coding: only 'chunked' is supported");
        return std::nullopt;
    }

} // namespace

class http_server::connection : public http_exchange, public std::enable_shared_from_this<connection> {
public:
    connection(tcp::socket socket, const http_limits& limits, std::shared_ptr<unsent_bytes> unsent, std::shared_ptr<byte_budget> heldRequests)
        : m_stream(std::move(socket))
        , m_limits(limits)
        , m_unsent(std::move(unsent))
        , m_held(std::move(heldRequests), unsharedRequestBytes)
    {
        beast::error_code ignored;
        m_stream.socket().set_option(tcp::no_delay(true), ignored);
    }

    // Reads the next request; returns false if the connection is to be closed.
    awaitable<bool> readRequest(instant& idleSince)
    {
        m_parser.emplace();
        m_parser->header_limit(headLimit(m_limits));
        m_parser->body_limit(m_limits.maxBodyBytes);
        // Chunk heads and trailers count neither as header nor as body: a buffer of any size would keep them without end.
        m_buffer.max_size(std::max<std::size_t>({ m_buffer.size(), headLimit(m_limits), firstReadBytes }));
        m_held.resize(0);
        m_busy = false;
        m_headOnly = false;
        if (m_buffer.size() == 0) {
            const bool begun = co_await awaitFirstBytes(idleSince);
            if (!begun)
                co_return false;
        }
        m_receivedAt = boot_clock::now();
        const instant deadline = m_receivedAt + m_limits.headerTimeout;
        expireStreamAt(m_stream, deadline);
        auto [error, bytes] = co_await http::async_read_header(m_stream, m_buffer, *m_parser, asTuple);
        std::optional<failure> refused = error ? std::nullopt : framingFailure(m_parser->get());
        if (!error && !refused && beast::iequals(m_parser->get()[http::field::expect], "100-continue"))
            error = co_await sendContinue();
        m_parser->eager(true);
        while (!error && !refused && !m_parser->is_done()) {
            std::tie(error, bytes) = co_await http::async_read_some(m_stream, m_buffer, *m_parser, asTuple);
            // The stream's own timer does not fire while a caller sends without a pause.
            if (!error && !m_parser->is_done() && boot_clock::now() >= deadline)
                error = beast::error::timeout;
            if (!error && !m_held.resize(m_parser->get().body().size()))
                refused = notRun(failure_reason::queue_full, "the requests that are being read take all memory set aside for them", heldBytesRetryAfter);
        }
        if (refused) {
            co_await refuse(*refused);
            co_return false;
        }
        if (error) {
            const bool nothingRead = error == http::error::end_of_stream || !m_parser->got_some();
            const bool connectionLost = error == beast::error::timeout || error == asio::error::operation_aborted || error == asio::error::connection_reset
                || error == http::error::partial_message || error == asio::error::eof;
            if (!nothingRead && !connectionLost)
                co_await refuse(requestReadFailure(error));
            co_return false;
        }
        if (m_dropped)
            co_return false;
        m_request = m_parser->release();
        m_headOnly = m_request.method() == http::verb::head;
        m_busy = true;
        m_begun = false;
        m_finished = false;
        m_body.reset();
        m_callerGone = false;
        m_onGone = nullptr;
        co_return true;
    }

    // Detects that the caller closes the connection while its request is in progress.
    void watchCaller()
    {
        m_stream.socket().async_wait(tcp::socket::wait_read, [weak = weak_from_this()](beast::error_code error) {
            const auto self = weak.lock();
            if (error || !self || !self->m_busy)
                return;
            char byte = 0;
            beast::error_code peekError;
            self->m_stream.socket().non_blocking(true, peekError);
            const auto count = self->m_stream.socket().receive(asio::buffer(&byte, 1), tcp::socket::message_peek, peekError);
            const bool closed = (count == 0 && !peekError) || (peekError && peekError != asio::error::would_block);
            if (closed)
                self->handleCallerGone();
        });
    }

    void endRequest()
    {
        m_busy = false;
        m_onGone = nullptr;
        beast::error_code ignored;
        m_stream.socket().cancel(ignored);
    }

    bool keepAlive() const { return m_request.keep_alive() && !m_closeAfterAnswer && !m_callerGone && m_finished; }
    bool busy() const { return m_busy; }
    instant idleSince() const { return m_idleSince; }
    // True if no byte of a next request has arrived, not even in the socket's receive buffer.
    bool idle()
    {
        return m_idle && !hasUnread();
    }
    void closeAfterAnswer() override { m_closeAfterAnswer = true; }

    // The connection is closed after its answer, and now if it is idle. What the wait for a next request has received already is
    // answered, so the wait is cancelled in place of closing the socket under it.
    void drain(std::shared_ptr<const http_response> notice)
    {
        m_draining = true;
        m_closeAfterAnswer = true;
        m_closeNotice = std::move(notice);
        if (idle())
            m_stream.cancel();
    }

    void drop()
    {
        m_dropped = true;
        close();
    }

    void close()
    {
        beast::error_code ignored;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, ignored);
        m_stream.close();
    }

    const http_request& request() const override { return m_request; }
    instant receivedAt() const override { return m_receivedAt; }
    bool begun() const override { return m_begun; }
    bool callerGone() const override { return m_callerGone; }
    void onCallerGone(std::function<void()> action) override { m_onGone = std::move(action); }

    awaitable<bool> send(http_response response) override
    {
        m_begun = true;
        response.keep_alive(m_request.keep_alive() && !m_closeAfterAnswer);
        if (!response.keep_alive())
            m_closeAfterAnswer = true;
        m_promisedReuse = response.keep_alive();
        m_stream.expires_after(m_limits.writeTimeout);
        beast::error_code error;
        std::size_t bytes = 0;
        if (m_headOnly) {
            // The caller would read a body as its next answer.
            http::response_serializer<http::string_body> serializer(response);
            std::tie(error, bytes) = co_await http::async_write_header(m_stream, serializer, asTuple);
        } else {
            std::tie(error, bytes) = co_await http::async_write(m_stream, response, asTuple);
        }
        m_finished = !error;
        if (error)
            handleCallerGone();
        co_return !error;
    }

    awaitable<bool> begin(http_head head) override
    {
        m_begun = true;
        const bool writesBody = hasBody(head) && !m_headOnly;
        http::response<http::empty_body> answer(std::move(head));
        if (writesBody)
            answer.chunked(true);
        m_promisedReuse = m_request.keep_alive() && !m_closeAfterAnswer;
        answer.keep_alive(m_promisedReuse);
        http::response_serializer<http::empty_body> serializer(answer);
        m_stream.expires_after(m_limits.writeTimeout);
        const auto [error, bytes] = co_await http::async_write_header(m_stream, serializer, asTuple);
        if (error)
            handleCallerGone();
        if (writesBody)
            m_body.emplace(m_stream, m_unsent, chunk_writer::limits {}, [this] { handleCallerGone(); });
        co_return !error;
    }

    awaitable<bool> write(std::string_view bytes) override
    {
        if (!m_body)
            co_return !m_callerGone;
        const bool connected = co_await m_body->write(bytes, shared_from_this());
        co_return connected && !m_callerGone;
    }

    awaitable<bool> finish() override
    {
        if (m_body)
            m_finished = co_await m_body->finish(shared_from_this());
        else
            m_finished = !m_callerGone;
        co_return m_finished;
    }

    // Sends what the caller has not taken yet of an answer that was ended early.
    awaitable<void> flushBody()
    {
        if (m_body && !m_callerGone)
            co_await m_body->flush(chunk_writer::limits {}.slowCaller);
    }

    void abort() override
    {
        m_closeAfterAnswer = true;
        m_finished = false;
    }

    // The head of an answer may have been sent before the server began to stop: its caller takes the connection for one that it may
    // use again.
    awaitable<void> revokeReuse()
    {
        if (!m_closeNotice || !m_promisedReuse || !m_finished || m_callerGone)
            co_return;
        // It answers the next request, whatever the method of the last one was.
        m_headOnly = false;
        co_await sendLast(*m_closeNotice);
    }

    // Answers the request whose handler has failed.
    awaitable<void> answerFailedHandler()
    {
        m_closeAfterAnswer = true;
        if (m_begun || m_callerGone)
            abort();
        else
            co_await send(makeFailure(mayHaveRun(failure_reason::backend_error, "the request could not be handled")));
    }

private:
    // False if the connection is to be closed since no request has begun.
    awaitable<bool> awaitFirstBytes(instant idleSince)
    {
        m_idleSince = idleSince;
        beast::error_code error;
        for (bool waits = true; waits;) {
            // A connection that was accepted as the server stopped may still bring the request that it was opened for.
            expireStreamAt(m_stream, m_draining ? boot_clock::now() + lingerTime : idleSince + m_limits.idleTimeout);
            m_idle = true;
            std::size_t received = 0;
            std::tie(error, received) = co_await m_stream.async_read_some(m_buffer.prepare(firstReadBytes), asTuple);
            m_idle = false;
            m_buffer.commit(received);
            waits = error == asio::error::operation_aborted && m_draining && hasUnread();
        }
        if (error == asio::error::operation_aborted && m_closeNotice && !m_dropped)
            co_await sendLast(*m_closeNotice);
        co_return !error;
    }

    bool hasUnread()
    {
        beast::error_code error;
        return m_stream.socket().available(error) > 0;
    }

    awaitable<void> refuse(failure refused)
    {
        co_await sendLast(makeFailure(refused));
    }

    awaitable<void> sendLast(http_response response)
    {
        m_closeAfterAnswer = true;
        const bool sent = co_await send(std::move(response));
        if (!sent)
            co_return;
        beast::error_code error;
        m_stream.socket().shutdown(tcp::socket::shutdown_send, error);
        const instant lingerUntil = boot_clock::now() + lingerTime;
        expireStreamAt(m_stream, lingerUntil);
        m_buffer.clear();
        while (!error && boot_clock::now() < lingerUntil)
            std::tie(error, std::ignore) = co_await m_stream.async_read_some(m_buffer.prepare(firstReadBytes), asTuple);
    }

    awaitable<beast::error_code> sendContinue()
    {
        http::response<http::empty_body> interim { http::status::continue_, 11 };
        const auto [error, bytes] = co_await http::async_write(m_stream, interim, asTuple);
        co_return error;
    }

    void handleCallerGone()
    {
        m_callerGone = true;
        if (const auto action = std::exchange(m_onGone, nullptr))
            action();
    }

    beast::tcp_stream m_stream;
    const http_limits& m_limits;
    std::shared_ptr<unsent_bytes> m_unsent;
    held_bytes m_held;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http_request m_request;
    instant m_receivedAt;
    instant m_idleSince;
    std::optional<chunk_writer> m_body;
    std::function<void()> m_onGone;
    bool m_idle = false;
    bool m_busy = false;
    // The request under way is answered without a body.
    bool m_headOnly = false;
    bool m_begun = false;
    bool m_finished = false;
    bool m_closeAfterAnswer = false;
    bool m_callerGone = false;
    bool m_dropped = false;
    bool m_draining = false;
    bool m_promisedReuse = false;
    std::shared_ptr<const http_response> m_closeNotice;
};

result<std::unique_ptr<http_server>> http_server::listen(process_context& context, const std::string& address, http_limits limits, http_handler& handler)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint)
        return endpoint.error();
    tcp::acceptor acceptor(context.io());
    beast::error_code error;
    acceptor.open(endpoint.value().protocol(), error);
    if (!error)
        acceptor.set_option(asio::socket_base::reuse_address(true), error);
    if (!error)
        acceptor.bind(endpoint.value(), error);
    if (!error)
        acceptor.listen(asio::socket_base::max_listen_connections, error);
    if (error)
        return notRun(failure_reason::not_ready, "cannot listen on " + address + ": " + error.message());
    std::unique_ptr<http_server> server(new http_server(context, std::move(acceptor), limits, handler));
    startLoop(context, "accept", [raw = server.get()] { return raw->acceptLoop(); });
    return server;
}

http_server::http_server(process_context& context, tcp::acceptor acceptor, http_limits limits, http_handler& handler)
    : m_context(context)
    , m_acceptor(std::move(acceptor))
    , m_limits(limits)
    , m_heldRequests(std::make_shared<byte_budget>(limits.maxHeldBytes))
    , m_handler(handler)
{
}

http_server::~http_server() = default;

unsigned short http_server::port() const
{
    return m_acceptor.local_endpoint().port();
}

awaitable<void> http_server::acceptLoop()
{
    while (!m_draining) {
        const std::uint64_t epoch = m_dropEpoch;
        auto [error, socket] = co_await m_acceptor.async_accept(asTuple);
        if (error && !m_draining)
            co_await sleepFor(m_context.io(), acceptBackoff);
        else if (!error && epoch == m_dropEpoch)
            admit(std::move(socket));
    }
}

void http_server::admit(tcp::socket socket)
{
    // A socket that is not kept is closed with its object.
    if (openConnections() >= m_limits.maxConnections && !closeLongestIdle())
        return;
    const connection_id id = m_nextId++;
    auto accepted = std::make_shared<connection>(std::move(socket), m_limits, m_unsent, m_heldRequests);
    if (m_draining)
        accepted->drain(m_closeNotice);
    m_connections.emplace(id, accepted);
    m_context.counters().set(metric::connections, openConnections());
    startTask(m_context, "connection", serve(id, std::move(accepted)));
}

// Callers that keep connections open without using them must not shut the others out.
bool http_server::closeLongestIdle()
{
    std::shared_ptr<connection> longest;
    for (const auto& [id, client] : m_connections) {
        if (client->idle() && (!longest || client->idleSince() < longest->idleSince()))
            longest = client;
    }
    if (longest)
        longest->close();
    return longest != nullptr;
}

awaitable<void> http_server::serve(connection_id id, std::shared_ptr<connection> client)
{
    const scope_exit ended(m_context, [this, id, &client] {
        client->close();
        m_connections.erase(id);
        m_context.counters().set(metric::connections, openConnections());
    });
    co_await serveRequests(*client);
}

awaitable<void> http_server::serveRequests(connection& client)
{
    instant idleSince = m_context.now();
    while (co_await client.readRequest(idleSince)) {
        if (m_draining || m_announceClose)
            client.closeAfterAnswer();
        client.watchCaller();
        const auto failed = co_await runGuarded(m_handler.handle(client));
        if (failed) {
            m_context.reportException("request", *failed);
            co_await client.answerFailedHandler();
        }
        co_await client.flushBody();
        client.endRequest();
        if (!client.keepAlive()) {
            co_await client.revokeReuse();
            break;
        }
        idleSince = m_context.now();
    }
}

void http_server::drain(std::optional<http_response> notice)
{
    m_draining = true;
    if (notice)
        m_closeNotice = std::make_shared<const http_response>(std::move(*notice));
    for (auto& [id, client] : m_connections)
        client->drain(m_closeNotice);
    // The kernel resets the connections that nobody has accepted as the listening socket is closed, and what their callers have
    // sent on them would count as possibly run.
    acceptAll([this](tcp::socket socket) { admit(std::move(socket)); });
    beast::error_code ignored;
    m_acceptor.close(ignored);
}

void http_server::acceptAll(const std::function<void(tcp::socket)>& action)
{
    beast::error_code error;
    m_acceptor.non_blocking(true, error);
    while (!error) {
        tcp::socket waiting(m_context.io());
        m_acceptor.accept(waiting, error);
        if (!error)
            action(std::move(waiting));
    }
}

void http_server::dropUnread()
{
    ++m_dropEpoch;
    acceptAll([](const tcp::socket&) {});
    for (auto& [id, client] : m_connections) {
        if (!client->busy())
            client->drop();
    }
}

} // namespace rampgap
