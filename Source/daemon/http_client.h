// Sends requests over pooled HTTP/1.1 connections.
#pragma once

#include "daemon/http_message.h"
#include "daemon/process_context.h"

#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace rampgap {

class http_client;

// One request to an upstream server and its answer. The connection returns to the pool only
// after a complete answer, so the next call cannot receive the rest of this one.
class http_call {
public:
    explicit http_call(http_client&);
    ~http_call();
    http_call(const http_call&) = delete;
    http_call& operator=(const http_call&) = delete;

    // Sends the request and reads the head of the final answer; interim ones (100 to 199) are skipped, a few of them.
    // The verdict of a failure is `not_run` only if no part of the request was sent.
    awaitable<result<http_head>> start(std::string address, http_request, instant deadline);
    // The next piece of the body; empty at its end. Valid until the next call.
    awaitable<result<std::string_view>> read();
    // Reads the rest of the body, up to `limit` bytes.
    awaitable<result<std::string>> readAll(std::size_t limit);
    // Resets the connection; a pending `start` or `read` fails.
    void cancel();
    // Replaces the deadline of pending and later reads.
    void expireAt(instant deadline);
    // Skips the pool: the server may have closed an idle connection without our noticing yet.
    void useFreshConnection() { m_freshConnection = true; }
    // Keeps the connection after a complete answer for the next request of this call, in place of returning it to the pool. Its
    // answers come in the order of the requests, so what the next one gets shows whether this one got its own.
    void keepForNext(bool keep) { m_keepForNext = keep; }
    // True if the next request goes over the same connection.
    bool hasConnection() const { return m_connection != nullptr; }
    // True if the end of the answer differs from a lost connection: it has a length, is chunked or never has a body.
    bool framed() const { return m_framed; }
    // The length that the answer's head states; empty if it states none.
    std::optional<std::uint64_t> statedLength() const;
    // True if no request was sent on the connection before this one.
    bool firstOnConnection() const { return m_firstOnConnection; }
    // True if the connection was refused: nothing listened at the address.
    bool refused() const { return m_refused; }

private:
    struct connection;
    friend class http_client;

    awaitable<result<void>> connect(const std::string& address, instant deadline);
    // Reads heads until that of the final answer.
    awaitable<result<void>> readHead(bool hasBody);
    void returnToPool();
    // Also checked between reads: the stream's own timer does not fire while a server sends without a pause.
    void setDeadline(instant);
    // Whether closing the connection resets it, as is done until the answer is complete.
    void resetOnClose(bool reset);

    http_client& m_client;
    std::string m_address;
    std::unique_ptr<connection> m_connection;
    bool m_cancelled = false;
    bool m_freshConnection = false;
    bool m_keepForNext = false;
    bool m_framed = true;
    bool m_firstOnConnection = true;
    instant m_deadline {};
    bool m_refused = false;
};

class http_client {
public:
    // Far above a round trip between zones, below the retransmission timeout of a lost packet.
    static constexpr milliseconds defaultConnectTimeout { 500 };

    explicit http_client(process_context&, milliseconds connectTimeout = defaultConnectTimeout);
    ~http_client();

    // Sends a request and buffers the whole answer, up to `limit` bytes.
    awaitable<result<http_response>> fetch(std::string address, http_request, milliseconds timeout, std::size_t limit = 4'194'304);

    // Calls to this address leave from it: a server on the same machine knows its machine by the caller's address, and on
    // a host of several addresses the operating system would choose another one.
    void setOwnAddress(boost::asio::ip::address address) { m_ownAddress = std::move(address); }

    // Closes the idle connections to a server that was restarted; its previous process has ended.
    void closeIdle(const std::string& address);

private:
    friend class http_call;

    struct idle_connection {
        std::unique_ptr<http_call::connection> connection;
        instant usableUntil;
    };

    std::unique_ptr<http_call::connection> popIdle(const std::string& address);

    process_context& m_context;
    milliseconds m_connectTimeout;
    std::optional<boost::asio::ip::address> m_ownAddress;
    std::unordered_map<std::string, std::vector<idle_connection>> m_idle;
};

} // namespace rampgap
