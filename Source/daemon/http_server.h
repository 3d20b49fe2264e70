// Accepts HTTP/1.1 connections and hands each request to a handler.
#pragma once

#include "daemon/byte_budget.h"
#include "daemon/chunk_writer.h"
#include "daemon/http_message.h"
#include "daemon/process_context.h"

#include <functional>
#include <memory>
#include <optional>
#include <unordered_map>

namespace rampgap {

struct http_limits {
    std::uint32_t maxHeaderBytes = 16'384;
    std::uint64_t maxBodyBytes = 1'048'576;
    int maxConnections = 4'096;
    milliseconds idleTimeout { 60'000 };
    // For the whole request, from its first byte to the end of its body.
    milliseconds headerTimeout { 60'000 };
    milliseconds writeTimeout { 30'000 };
    // Bytes of all requests together that are being read or handled; the first 4 KB of each do not count.
    std::size_t maxHeldBytes = 67'108'864;

    bool operator==(const http_limits&) const = default;
};

// A request and the means to answer it. Answer it once: with `send`, or with `begin`, any number
// of `write` and then `finish` or `abort`.
class http_exchange {
public:
    virtual ~http_exchange() = default;

    virtual const http_request& request() const = 0;
    // When the first byte of the request was read.
    virtual instant receivedAt() const = 0;
    // These four return false once the caller has disconnected.
    virtual awaitable<bool> send(http_response) = 0;
    // Begins a streamed (chunked) answer.
    virtual awaitable<bool> begin(http_head) = 0;
    // Returns once the bytes are queued; waits only while the caller has left too many unread.
    virtual awaitable<bool> write(std::string_view bytes) = 0;
    virtual awaitable<bool> finish() = 0;
    // Makes the connection close after this answer.
    virtual void closeAfterAnswer() = 0;
    // Closes the connection without the last chunk, so that the caller sees an incomplete answer.
    virtual void abort() = 0;
    virtual bool begun() const = 0;
    virtual bool callerGone() const = 0;
    // Sets the action to run if the caller disconnects before the answer ends. It runs at most once and
    // replaces an earlier one.
    virtual void onCallerGone(std::function<void()>) = 0;
};

class http_handler {
public:
    virtual ~http_handler() = default;

    virtual awaitable<void> handle(http_exchange&) = 0;
};

class http_server {
public:
    // Listens on "host:port"; with port 0 the kernel chooses a port.
    static result<std::unique_ptr<http_server>> listen(process_context&, const std::string& address, http_limits, http_handler&);
    ~http_server();

    unsigned short port() const;
    // Applies to requests that are read from now on; what all requests may hold together stays as it was.
    void setLimits(const http_limits& limits) { m_limits = limits; }
    int openConnections() const { return static_cast<int>(m_connections.size()); }

    // Closes each connection after the answer to its next request; new connections are still accepted.
    void announceClose() { m_announceClose = true; }
    // Stops accepting; closes idle connections now and the others after their answer. With a notice, each idle connection is
    // sent it first: a caller whose next request crosses the close then reads in its place that the request has not run.
    void drain(std::optional<http_response> notice = std::nullopt);
    // Drops every connection without a request in progress, and those not accepted yet: requests
    // that are unread there may have been sent long ago.
    void dropUnread();

private:
    class connection;
    using connection_id = std::uint64_t;

    http_server(process_context&, tcp::acceptor, http_limits, http_handler&);

    awaitable<void> acceptLoop();
    void admit(tcp::socket);
    // Accepts the connections that wait in the kernel.
    void acceptAll(const std::function<void(tcp::socket)>& action);
    awaitable<void> serve(connection_id, std::shared_ptr<connection>);
    awaitable<void> serveRequests(connection&);
    // Closes the connection that has been idle for longest, to make room for a new one; false if none is idle.
    bool closeLongestIdle();

    process_context& m_context;
    tcp::acceptor m_acceptor;
    http_limits m_limits;
    std::shared_ptr<unsent_bytes> m_unsent = std::make_shared<unsent_bytes>();
    std::shared_ptr<byte_budget> m_heldRequests;
    http_handler& m_handler;
    bool m_draining = false;
    bool m_announceClose = false;
    std::shared_ptr<const http_response> m_closeNotice;
    connection_id m_nextId = 1;
    std::uint64_t m_dropEpoch = 0;
    std::unordered_map<connection_id, std::shared_ptr<connection>> m_connections;
};

} // namespace rampgap
