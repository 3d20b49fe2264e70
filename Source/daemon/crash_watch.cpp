#include "daemon/crash_watch.h"

#include "daemon/server_look.h"
#include "daemon/sleep.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr milliseconds lookPoll { 1 };
    // A look finds nothing out where the server resets it as it ends, or does not answer in time;
    // callers wait for what it finds.
    constexpr int mostLooks = 3;
    constexpr milliseconds betweenLooks { 20 };
    // A process that ends closes its last socket within this of its first.
    constexpr milliseconds longestEnd { 250 };

} // namespace

crash_watch::crash_watch(process_context& context, crash_history& history, crash_listener& listener, http_request ping)
    : m_context(context)
    , m_history(history)
    , m_listener(listener)
    , m_ping(std::move(ping))
{
}

void crash_watch::recordLost(const server_incarnation& life, const std::string& address, const lost_call& call)
{
    switch (m_detector.recordLost(life, call, m_context.now())) {
    case crash_detector::finding::crashed:
        noteCallCrashed(life, call);
        break;
    case crash_detector::finding::probe:
        asio::co_spawn(m_context.io(), look(life, address), asio::detached);
        break;
    case crash_detector::finding::wait:
        break;
    }
}

void crash_watch::recordWithdrawn(const server_incarnation& life, const lost_call& call)
{
    if (m_detector.recordWithdrawn(life, call, m_context.now()))
        noteCallCrashed(life, call);
}

void crash_watch::noteRefused(const server_incarnation& life, const std::string& address)
{
    if (m_detector.isUndecided(life))
        recordCrashed(life, address, "a connection to it was refused");
}

awaitable<void> crash_watch::awaitLook(server_incarnation life)
{
    while (looking(life))
        co_await sleepFor(m_context.io(), lookPoll);
}

// After the last look a refused connection, a later life or the news of another process still tell.
awaitable<void> crash_watch::look(server_incarnation life, std::string address)
{
    for (int looks = 1; m_detector.isProbing(life); ++looks) {
        const auto seen = co_await lookAtServer(m_context.io(), address, m_ping);
        if (seen.sight == server_sight::gone) {
            recordCrashed(life, address, "nothing listens at its address");
            co_return;
        }
        if (seen.sight != server_sight::unknown) {
            m_detector.recordUndecided(life);
            co_await confirm(life, address, m_context.now());
            co_return;
        }
        m_listener.onLookUnanswered(life, address, seen.reason);
        if (looks == mostLooks) {
            m_detector.recordUndecided(life);
            co_return;
        }
        co_await sleepFor(m_context.io(), betweenLooks);
    }
}

// Nobody waits for this: it decides whether the calls had to do with an end of the server.
awaitable<void> crash_watch::confirm(server_incarnation life, std::string address, instant listenedAt)
{
    co_await sleepFor(m_context.io(), longestEnd);
    if (!m_detector.isUndecided(life))
        co_return;
    const auto seen = co_await lookAtServer(m_context.io(), address, m_ping);
    if (seen.sight == server_sight::gone && m_detector.isUndecided(life))
        recordCrashed(life, address, "nothing listens at its address any more");
    else if (seen.sight == server_sight::answers || seen.sight == server_sight::listens)
        m_detector.recordAlive(life, listenedAt);
}

void crash_watch::recordCrashed(const server_incarnation& life, const std::string& address, const std::string& why)
{
    const bool isKnown = m_detector.hasCrashed(life, m_context.now());
    const auto calls = m_detector.recordCrashed(life, m_context.now());
    if (!isKnown) {
        m_context.counters().add(metric::servers_crashed);
        m_listener.onServerCrashed(life, address, why, calls.size());
    }
    for (const auto& call : calls)
        noteCallCrashed(life, call);
}

void crash_watch::noteCallCrashed(const server_incarnation& life, const lost_call& call)
{
    m_history.recordCrash(call.request, hashOf(life), call.events, m_context.now());
    m_context.counters().add(metric::calls_crashed);
    m_listener.onCallCrashed(life, call);
}

} // namespace rampgap
