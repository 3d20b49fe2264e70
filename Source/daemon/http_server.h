// Accepts HTTP/1.1 connections and hands each request to a handler.
#pragma once

#include "daemon/http_message.h"
#include "daemon/process_context.h"

#include <functional>
#include <memory>
#include <unordered_map>

namespace rampgap {

struct http_limits {
    std::uint32_t maxHeaderBytes = 16'384;
    std::uint64_t maxBodyBytes = 1'048'576;
    int maxConnections = 4'096;
    milliseconds idleTimeout { 60'000 };
    // From the first byte of a request to the end of its body.
    milliseconds headerTimeout { 60'000 };
    milliseconds writeTimeout { 30'000 };

    bool operator==(const http_limits&) const = default;
};

// One request of a caller and the way to answer it. Answer once: `send`, or
// `begin` with any number of `write` and then `finish` or `abort`.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;
    // When the first byte of the request was read.
    virtual instant receivedAt() const = 0;
    // All return false once the caller is gone.
    virtual awaitable<bool> send(http_response) = 0;
    // Begins a streamed answer; its length is unknown.
    virtual awaitable<bool> begin(http_head) = 0;
    virtual awaitable<bool> write(std::string_view bytes) = 0;
    virtual awaitable<bool> finish() = 0;
    // The connection ends after this answer.
    virtual void closeAfterAnswer() = 0;
    // Closes the connection so that the answer cannot be taken for a whole one.
    virtual void abort() = 0;
    virtual bool begun() const = 0;
    virtual bool callerGone() const = 0;
    // Called at most once, when the caller goes away before the answer ends.
    virtual void onCallerGone(std::function<void()>) = 0;
};

class http_handler {
public:
    virtual ~http_handler() = default;

    virtual awaitable<void> handle(http_exchange&) = 0;
};

class http_server {
public:
    // Listens on "host:port"; port 0 asks the kernel.
    static result<std::unique_ptr<http_server>> listen(process_context&, const std::string& address, http_limits, http_handler&);
    ~http_server();

    unsigned short port() const;
    // For requests that are read from now on.
    void setLimits(const http_limits& limits) { m_limits = limits; }
    int openConnections() const { return static_cast<int>(m_connections.size()); }

    // Answers from now on end their connections; new ones are still served.
    void announceClose() { m_announceClose = true; }
    // Stops accepting; idle connections close, busy ones after their answer.
    void drain();
    // Drops every connection that holds no request in work and whatever waits to be
    // accepted: what they hold may have been sent long before.
    void dropUnread();

private:
    class connection;
    using connection_id = std::uint64_t;

    http_server(process_context&, tcp::acceptor, http_limits, http_handler&);

    awaitable<void> acceptLoop();
    awaitable<void> serve(connection_id, std::shared_ptr<connection>);

    process_context& m_context;
    tcp::acceptor m_acceptor;
    http_limits m_limits;
    http_handler& m_handler;
    bool m_draining = false;
    bool m_announceClose = false;
    connection_id m_nextId = 1;
    std::uint64_t m_dropEpoch = 0;
    std::unordered_map<connection_id, std::shared_ptr<connection>> m_connections;
};

} // namespace rampgap
