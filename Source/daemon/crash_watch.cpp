#include "daemon/crash_watch.h"

#include "policy/try_rules.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace rampgap {

namespace asio = boost::asio;

crash_watch::crash_watch(process_context& context, crash_listener& listener)
    : m_context(context)
    , m_listener(listener)
{
}

void crash_watch::noteLost(const server_life& life, const std::string& address, const lost_call& call)
{
    switch (m_detector.noteLost(life, call, m_context.now())) {
    case crash_detector::finding::crashed:
        m_listener.onCallCrashed(life, call);
        break;
    case crash_detector::finding::look:
        asio::co_spawn(m_context.io(), look(life, address), asio::detached);
        break;
    case crash_detector::finding::wait:
        break;
    }
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
    boost::beast::tcp_stream stream(m_context.io());
    stream.expires_after(serverConnectTimeout);
    const auto [error] = co_await stream.async_connect(endpoint.value(), asio::as_tuple(asio::use_awaitable));
    if (error == asio::error::connection_refused)
        noteCrashed(life, address, "nothing listens at its address");
    else if (error)
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
        m_listener.onCallCrashed(life, call);
}

} // namespace rampgap
