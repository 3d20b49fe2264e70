#include "daemon/crash_watch.h"

#include "daemon/sleep.h"
#include "policy/try_rules.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // A process that ends closes its connections and the socket on which it listens one after the
    // other, and may lose the processor in between: whoever is let in looks whether it stays in.
    // In 23 of 60 runs with five fleets on eight cores some ended server had let the look in.
    constexpr milliseconds staysIn { 50 };
    // A server that has no room for connections closes each at once, and lives.
    constexpr int mostLooks = 3;

    constexpr milliseconds lookPoll { 1 };

    enum class look_result { refused,
        letIn,
        closed,
        noAnswer };

    awaitable<look_result> connectAndStay(asio::io_context& io, tcp::endpoint endpoint)
    {
        boost::beast::tcp_stream stream(io);
        stream.expires_after(serverConnectTimeout);
        const auto [refused] = co_await stream.async_connect(endpoint, asTuple);
        if (refused)
            co_return refused == asio::error::connection_refused ? look_result::refused : look_result::noAnswer;
        stream.expires_after(staysIn);
        char byte = 0;
        const auto [ended, size] = co_await stream.async_read_some(asio::buffer(&byte, 1), asTuple);
        co_return !ended || ended == boost::beast::error::timeout ? look_result::letIn : look_result::closed;
    }

} // namespace

crash_watch::crash_watch(process_context& context, crash_history& history, crash_listener& listener)
    : m_context(context)
    , m_history(history)
    , m_listener(listener)
{
}

void crash_watch::noteLost(const server_life& life, const std::string& address, const lost_call& call)
{
    switch (m_detector.noteLost(life, call, m_context.now())) {
    case crash_detector::finding::crashed:
        noteCallCrashed(life, call);
        break;
    case crash_detector::finding::look:
        asio::co_spawn(m_context.io(), look(life, address), asio::detached);
        break;
    case crash_detector::finding::wait:
        break;
    }
}

awaitable<void> crash_watch::awaitLook(server_life life)
{
    while (looking(life))
        co_await sleepFor(m_context.io(), lookPoll);
}

void crash_watch::noteStartedAnew(const server_life& life, const std::string& address)
{
    noteCrashed(life, address, "it was started anew");
}

// A refused connection is the one sure sign of an ended process: a server that only broke off
// its calls, or whose group stands still, goes on listening; one that is cut off does not answer.
awaitable<void> crash_watch::look(server_life life, std::string address)
{
    const auto endpoint = parseEndpoint(address);
    if (!endpoint) {
        m_detector.noteNoAnswer(life);
        co_return;
    }
    auto seen = co_await connectAndStay(m_context.io(), endpoint.value());
    for (int looks = 1; seen == look_result::closed && looks < mostLooks; ++looks)
        seen = co_await connectAndStay(m_context.io(), endpoint.value());
    if (seen == look_result::refused)
        noteCrashed(life, address, "nothing listens at its address");
    else if (seen == look_result::noAnswer)
        m_detector.noteNoAnswer(life);
    else
        m_detector.noteAlive(life, m_context.now());
}

void crash_watch::noteCrashed(const server_life& life, const std::string& address, const std::string& why)
{
    const auto calls = m_detector.noteCrashed(life, m_context.now());
    m_context.counters().add(metric::servers_crashed);
    m_listener.onServerCrashed(life, address, why, calls.size());
    for (const auto& call : calls)
        noteCallCrashed(life, call);
}

void crash_watch::noteCallCrashed(const server_life& life, const lost_call& call)
{
    m_history.noteCrash(call.request, hashOf(life), call.events, m_context.now());
    m_context.counters().add(metric::calls_crashed);
    m_listener.onCallCrashed(life, call);
}

} // namespace rampgap
