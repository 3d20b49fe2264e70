#include "harness/test_client.h"

#include <boost/asio/ip/address.hpp>
#include <boost/asio/write.hpp>

namespace rampgap::test {

using boost::asio::ip::tcp;

namespace {

    tcp::endpoint endpointOf(const std::string& address)
    {
        const auto colon = address.rfind(':');
        return { boost::asio::ip::make_address(address.substr(0, colon)), static_cast<unsigned short>(std::stoi(address.substr(colon + 1))) };
    }

    test_answer sendOnce(const std::string& address, http::verb method, const std::string& target, const std::string& body, const std::string& key)
    {
        test_client client(address);
        test_request request { method, target, body, {} };
        if (!key.empty())
            request.headers.emplace_back("Authorization", "Bearer " + key);
        return client.send(request);
    }

} // namespace

test_client::test_client(std::string address)
    : m_address(std::move(address))
{
}

bool test_client::connect()
{
    m_buffer.clear();
    m_socket = std::make_unique<tcp::socket>(m_io);
    boost::system::error_code error;
    m_socket->connect(endpointOf(m_address), error);
    if (!error)
        m_socket->set_option(tcp::no_delay(true), error);
    return !error;
}

test_answer test_client::send(const test_request& request)
{
    if (!m_socket && !connect()) {
        m_socket.reset();
        return {};
    }
    http::request<http::string_body> message { request.method, request.target, 11 };
    message.set(http::field::host, m_address);
    for (const auto& [name, value] : request.headers)
        message.set(name, value);
    message.body() = request.body;
    message.prepare_payload();
    test_answer answer;
    boost::system::error_code error;
    http::write(*m_socket, message, error);
    http::response_parser<http::string_body> parser;
    parser.body_limit(boost::none);
    if (!error)
        http::read(*m_socket, m_buffer, parser, error);
    answer.body = parser.get().body();
    answer.headers = parser.get();
    if (error) {
        m_socket.reset();
        return answer;
    }
    answer.status = static_cast<int>(parser.get().result_int());
    if (!parser.get().keep_alive())
        m_socket.reset();
    return answer;
}

std::string test_client::raw(const std::string& address, const std::string& bytes, const std::function<void()>& beforeClose)
{
    boost::asio::io_context io;
    tcp::socket socket(io);
    boost::system::error_code error;
    socket.connect(endpointOf(address), error);
    boost::asio::write(socket, boost::asio::buffer(bytes), error);
    if (beforeClose)
        beforeClose();
    socket.shutdown(tcp::socket::shutdown_send, error);
    std::string answer;
    char piece[4096];
    for (;;) {
        const auto count = socket.read_some(boost::asio::buffer(piece), error);
        if (error)
            return answer;
        answer.append(piece, count);
    }
}

test_answer get(const std::string& address, const std::string& target, const std::string& key)
{
    return sendOnce(address, http::verb::get, target, "", key);
}

test_answer post(const std::string& address, const std::string& target, const std::string& body, const std::string& key)
{
    return sendOnce(address, http::verb::post, target, body, key);
}

test_answer put(const std::string& address, const std::string& target, const std::string& body)
{
    return sendOnce(address, http::verb::put, target, body, "");
}

} // namespace rampgap::test
