#include "support/scripted_server.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

namespace rampgap::test {

namespace asio = boost::asio;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);

} // namespace

scripted_server::scripted_server(script answers)
    : m_script(std::move(answers))
    , m_acceptor(m_io, { asio::ip::address_v4::loopback(), 0 })
    , m_port(m_acceptor.local_endpoint().port())
{
    asio::co_spawn(m_io, acceptAll(), asio::detached);
    m_thread = std::thread([this] { m_io.run(); });
}

scripted_server::~scripted_server()
{
    m_io.stop();
    m_thread.join();
}

awaitable<void> scripted_server::acceptAll()
{
    for (;;) {
        auto [error, socket] = co_await m_acceptor.async_accept(asTuple);
        if (error)
            co_return;
        ++m_connections;
        socket.set_option(tcp::no_delay(true));
        asio::co_spawn(m_io, serve(std::move(socket)), asio::detached);
    }
}

awaitable<void> scripted_server::serve(tcp::socket socket)
{
    boost::beast::flat_buffer buffer;
    for (int earlier = 0;; ++earlier) {
        http_request request;
        const auto [readError, read] = co_await http::async_read(socket, buffer, request, asTuple);
        if (readError)
            co_return;
        const scripted_answer answer = m_script(request, earlier);
        const auto [writeError, written] = co_await asio::async_write(socket, asio::buffer(answer.bytes), asTuple);
        if (answer.then == after_answer::reset)
            socket.set_option(asio::socket_base::linger(true, 0));
        if (writeError || answer.then != after_answer::keep)
            co_return;
    }
}

} // namespace rampgap::test
