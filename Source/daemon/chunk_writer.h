// Sends the body of a streamed answer in chunks, ahead of a caller that reads slowly.
#pragma once

#include "daemon/boot_timer.h"
#include "daemon/http_message.h"

#include <functional>
#include <memory>
#include <string>

namespace rampgap {

// Bytes of answers that the callers of one server have not taken yet.
struct unsent_bytes {
    std::size_t total = 0;
};

// A server cuts an answer off that is not read for some seconds. So the answer is read on while its
// caller is slow, until too much is unsent: then `write` waits, and the caller counts as gone if it
// takes nothing for a while.
class chunk_writer {
public:
    struct limits {
        // Unsent bytes of one answer, and of all answers of the server, up to which `write` does not wait.
        std::size_t perAnswer = 65'536;
        std::size_t perServer = 16'777'216;
        // The caller counts as gone if it takes nothing for this time while `write` waits, and so the server.
        milliseconds slowCaller { 2'000 };
        // The same while only the caller is waited for.
        milliseconds writeTimeout { 30'000 };

        bool operator==(const limits&) const = default;
    };

    // `onLost` is called if the caller cannot be reached any more. The `owner` that is given with each
    // call must keep this and the stream alive.
    chunk_writer(boost::beast::tcp_stream&, std::shared_ptr<unsent_bytes>, limits, std::function<void()> onLost);
    ~chunk_writer();
    chunk_writer(const chunk_writer&) = delete;
    chunk_writer& operator=(const chunk_writer&) = delete;

    // Sends a chunk; waits only while too much is unsent. False once the caller is gone.
    awaitable<bool> write(std::string_view bytes, std::shared_ptr<void> owner);
    // Sends the last chunk and waits until all is sent.
    awaitable<bool> finish(std::shared_ptr<void> owner);
    // Waits until all is sent, or the caller has taken nothing for `longest`.
    awaitable<bool> flush(milliseconds longest);
    std::size_t unsent() const { return m_queued.size() + m_sending.size() - m_sent; }

private:
    void queue(std::string_view bytes);
    void send(const std::shared_ptr<void>& owner);
    void lose();
    // Waits until `done`; false if the caller is gone, or takes nothing for `longest`.
    awaitable<bool> waitUntil(std::function<bool()> done, milliseconds longest);
    bool mayQueueMore() const;

    boost::beast::tcp_stream& m_stream;
    std::shared_ptr<unsent_bytes> m_unsent;
    limits m_limits;
    std::function<void()> m_onLost;
    std::string m_queued;
    // What is being sent, and how much of it the kernel has taken.
    std::string m_sending;
    std::size_t m_sent = 0;
    bool m_isSending = false;
    bool m_lost = false;
    // Cancelled at each progress.
    boot_timer m_progress;
};

} // namespace rampgap
