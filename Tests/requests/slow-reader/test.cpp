// Guards against answers that are left unread at their servers since a caller reads slowly: a server cuts those off, and what
// is held for slow callers counts toward the memory of the VM.
#include "daemon/chunk_writer.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <doctest/doctest.h>

using namespace rampgap;
namespace asio = boost::asio;
using tcp = asio::ip::tcp;

namespace {

constexpr int socketBytes = 4'096;

// A connection whose sockets hold little, so that a caller that does not read is noticed soon.
class slow_connection : public std::enable_shared_from_this<slow_connection> {
public:
    slow_connection(asio::io_context& io, const std::shared_ptr<unsent_bytes>& unsent, chunk_writer::limits limits)
        : caller(io)
        , m_stream(io)
        , writer(m_stream, unsent, limits, [this] { lost = true; })
    {
        tcp::acceptor acceptor(io);
        acceptor.open(tcp::v4());
        acceptor.set_option(asio::socket_base::receive_buffer_size(socketBytes));
        acceptor.bind({ asio::ip::make_address("127.0.0.1"), 0 });
        acceptor.listen();
        caller.open(tcp::v4());
        caller.set_option(asio::socket_base::receive_buffer_size(socketBytes));
        caller.connect(acceptor.local_endpoint());
        m_stream.socket() = acceptor.accept();
        m_stream.socket().set_option(asio::socket_base::send_buffer_size(socketBytes));
    }

    // Writes so many pieces of a kilobyte, then the end.
    awaitable<void> answer(int pieces)
    {
        const std::string piece(1'024, 'x');
        for (int i = 0; i < pieces; ++i) {
            if (!co_await writer.write(piece, shared_from_this()))
                co_return;
            ++written;
        }
        finished = co_await writer.finish(shared_from_this());
    }

    // Reads all that arrives until the end of the answer; its length.
    std::size_t readAll(asio::io_context& io)
    {
        std::string all;
        std::string part(1'000, '\0');
        while (!all.ends_with("0\r\n\r\n")) {
            io.poll();
            boost::system::error_code error;
            if (caller.available() == 0) {
                io.run_for(milliseconds(1));
                continue;
            }
            all.append(part, 0, caller.read_some(asio::buffer(part), error));
        }
        return all.size();
    }

    tcp::socket caller;

private:
    boost::beast::tcp_stream m_stream;

public:
    chunk_writer writer;
    int written = 0;
    bool finished = false;
    bool lost = false;
};

chunk_writer::limits shortLimits()
{
    chunk_writer::limits limits;
    limits.slowCaller = milliseconds(300);
    return limits;
}

} // namespace

TEST_CASE("an answer is read on while its caller reads nothing, and arrives whole")
{
    asio::io_context io;
    const auto unsent = std::make_shared<unsent_bytes>();
    const auto connection = std::make_shared<slow_connection>(io, unsent, chunk_writer::limits {});
    asio::co_spawn(io, connection->answer(40), asio::detached);
    io.poll();
    CHECK(connection->written == 40);
    CHECK(unsent->total > 20'000);
    // Each piece has a chunk's head and end of 7 bytes, and the last chunk has 5.
    CHECK(connection->readAll(io) == 40 * (1'024 + 7) + 5);
    io.run_for(milliseconds(20));
    CHECK(connection->finished);
    CHECK(unsent->total == 0);
}

TEST_CASE("a caller that takes nothing for long is given up, and no more than the limit is held for it")
{
    asio::io_context io;
    const auto unsent = std::make_shared<unsent_bytes>();
    const auto connection = std::make_shared<slow_connection>(io, unsent, shortLimits());
    asio::co_spawn(io, connection->answer(4'000), asio::detached);
    io.run_for(milliseconds(100));
    CHECK_FALSE(connection->lost);
    CHECK(unsent->total <= chunk_writer::limits {}.perAnswer + 2 * 1'024);
    io.run_for(milliseconds(500));
    CHECK(connection->lost);
    CHECK_FALSE(connection->finished);
}

TEST_CASE("a caller that reads a little again and again is not given up, and one that pauses gets the end of its answer")
{
    asio::io_context io;
    const auto unsent = std::make_shared<unsent_bytes>();
    const auto connection = std::make_shared<slow_connection>(io, unsent, shortLimits());
    asio::co_spawn(io, connection->answer(90), asio::detached);
    std::string part(6'000, '\0');
    for (int i = 0; i < 8; ++i) {
        io.run_for(milliseconds(100));
        boost::system::error_code error;
        if (connection->caller.available() > 0)
            connection->caller.read_some(asio::buffer(part), error);
    }
    CHECK_FALSE(connection->lost);
    CHECK(connection->written == 90);
    io.run_for(milliseconds(500));
    CHECK_FALSE(connection->lost);
    connection->readAll(io);
    io.run_for(milliseconds(20));
    CHECK(connection->finished);
}

TEST_CASE("200 callers that do not read hold a bounded part of the memory, and a fast one is not kept waiting")
{
    asio::io_context io;
    const auto unsent = std::make_shared<unsent_bytes>();
    chunk_writer::limits limits;
    limits.perServer = 1'000'000;
    std::vector<std::shared_ptr<slow_connection>> slow;
    for (int i = 0; i < 200; ++i) {
        slow.push_back(std::make_shared<slow_connection>(io, unsent, limits));
        asio::co_spawn(io, slow.back()->answer(1'000), asio::detached);
    }
    io.run_for(milliseconds(100));
    CHECK(unsent->total <= limits.perServer + 200 * 2 * 1'024);
    const auto fast = std::make_shared<slow_connection>(io, unsent, limits);
    asio::co_spawn(io, fast->answer(40), asio::detached);
    CHECK(fast->readAll(io) == 40 * (1'024 + 7) + 5);
    CHECK_FALSE(fast->lost);
}
