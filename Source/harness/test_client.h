// A blocking HTTP caller for tests.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace rampgap::test {

namespace http = boost::beast::http;

struct test_request {
    http::verb method = http::verb::post;
    std::string target;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

// `status` 0: no whole answer came; `body` then holds what did.
struct test_answer {
    int status = 0;
    std::string body;
    http::fields headers;

    std::string header(const std::string& name) const { return std::string(headers[name]); }
};

// One keep-alive connection; opened again when it was closed between two requests.
class test_client {
public:
    explicit test_client(std::string address);

    test_answer send(const test_request&);
    // Sends raw bytes on a connection of its own, half-closes it after `beforeClose`, and
    // returns all that comes back.
    static std::string raw(const std::string& address, const std::string& bytes, const std::function<void()>& beforeClose = {});

private:
    bool connect();

    std::string m_address;
    boost::asio::io_context m_io;
    std::unique_ptr<boost::asio::ip::tcp::socket> m_socket;
    boost::beast::flat_buffer m_buffer;
};

test_answer get(const std::string& address, const std::string& target, const std::string& key = "");
test_answer post(const std::string& address, const std::string& target, const std::string& body = "", const std::string& key = "");
test_answer put(const std::string& address, const std::string& target, const std::string& body);

} // namespace rampgap::test
