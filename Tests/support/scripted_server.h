// A server of given bytes for tests: what it sends need not be an answer.
#pragma once

#include "daemon/http_message.h"

#include <atomic>
#include <boost/asio/io_context.hpp>
#include <functional>
#include <string>
#include <thread>

namespace rampgap::test {

enum class after_answer {
    keep,
    close,
    reset,
};

struct scripted_answer {
    std::string bytes;
    // What becomes of the connection then.
    after_answer then = after_answer::keep;
};

// Accepts connections on a thread of its own until it is destroyed, and answers each request by the script.
class scripted_server {
public:
    // Called with the request, and how many came before it on its connection.
    using script = std::function<scripted_answer(const http_request&, int earlier)>;

    explicit scripted_server(script);
    ~scripted_server();
    scripted_server(const scripted_server&) = delete;
    scripted_server& operator=(const scripted_server&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }
    // Connections that were accepted so far.
    int connections() const { return m_connections; }

private:
    awaitable<void> acceptAll();
    awaitable<void> serve(tcp::socket socket);

    script m_script;
    boost::asio::io_context m_io;
    tcp::acceptor m_acceptor;
    unsigned short m_port;
    std::atomic<int> m_connections = 0;
    std::thread m_thread;
};

} // namespace rampgap::test
