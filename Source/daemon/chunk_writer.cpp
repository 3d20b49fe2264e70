#include "daemon/chunk_writer.h"

#include <array>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <charconv>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::string_view lineEnd = "\r\n";
    constexpr std::string_view lastChunk = "0\r\n\r\n";
    constexpr int hexadecimal = 16;

    std::string chunkHead(std::size_t size)
    {
        std::array<char, 2 * sizeof(size)> digits {};
        const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), size, hexadecimal).ptr;
        return std::string(digits.data(), end).append(lineEnd);
    }

} // namespace

chunk_writer::chunk_writer(boost::beast::tcp_stream& stream, std::shared_ptr<unsent_bytes> unsent, limits limits, std::function<void()> onLost)
    : m_stream(stream)
    , m_unsent(std::move(unsent))
    , m_limits(limits)
    , m_onLost(std::move(onLost))
    , m_progress(stream.get_executor())
{
}

chunk_writer::~chunk_writer()
{
    m_unsent->total -= unsent();
}

void chunk_writer::queue(std::string_view bytes)
{
    m_queued.append(bytes);
    m_unsent->total += bytes.size();
}

awaitable<bool> chunk_writer::write(std::string_view bytes, std::shared_ptr<void> owner)
{
    if (m_lost)
        co_return false;
    // An empty chunk would end the answer.
    if (bytes.empty())
        co_return true;
    queue(chunkHead(bytes.size()));
    queue(bytes);
    queue(lineEnd);
    send(owner);
    std::function<bool()> done = [this] { return mayQueueMore(); };
    co_return co_await waitUntil(std::move(done), m_limits.slowCaller);
}

awaitable<bool> chunk_writer::finish(std::shared_ptr<void> owner)
{
    if (m_lost)
        co_return false;
    queue(lastChunk);
    send(owner);
    co_return co_await flush(m_limits.writeTimeout);
}

awaitable<bool> chunk_writer::flush(milliseconds longest)
{
    std::function<bool()> done = [this] { return unsent() == 0; };
    co_return co_await waitUntil(std::move(done), longest);
}

bool chunk_writer::mayQueueMore() const
{
    return unsent() == 0 || (unsent() <= m_limits.perAnswer && m_unsent->total <= m_limits.perServer);
}

// Sends piece by piece, so that each piece that the caller takes shows that it is still there.
void chunk_writer::send(const std::shared_ptr<void>& owner)
{
    if (m_sending.empty())
        m_sending.swap(m_queued);
    if (m_sending.empty() || m_isSending)
        return;
    m_isSending = true;
    m_stream.expires_after(m_limits.writeTimeout);
    m_stream.async_write_some(asio::buffer(m_sending) + m_sent, [this, owner](const boost::system::error_code& error, std::size_t size) {
        m_isSending = false;
        m_sent += size;
        m_unsent->total -= size;
        if (m_sent == m_sending.size()) {
            m_sending.clear();
            m_sent = 0;
        }
        if (error)
            lose();
        else
            send(owner);
        m_progress.cancel();
    });
}

void chunk_writer::lose()
{
    if (std::exchange(m_lost, true))
        return;
    m_unsent->total -= m_queued.size();
    m_queued.clear();
    m_onLost();
}

awaitable<bool> chunk_writer::waitUntil(std::function<bool()> done, milliseconds longest)
{
    while (!m_lost && !done()) {
        m_progress.expires_after(longest);
        const auto [error] = co_await m_progress.async_wait(asTuple);
        if (!error)
            lose();
    }
    co_return !m_lost;
}

} // namespace rampgap
