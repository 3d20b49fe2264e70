#include "gateway/crash_reporter.h"

#include "policy/try_rules.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>

namespace rampgap {

namespace asio = boost::asio;

crash_reporter::crash_reporter(process_context& context, decision_log& log, fleet_state& state, crash_history& history)
    : m_context(context)
    , m_log(log)
    , m_state(state)
    , m_history(history)
{
}

// A server that leaves ends what it cannot finish; that is no crash. What is not listed any
// more is leaving, too.
void crash_reporter::noteLost(const listed_backend& backend, const lost_call& call)
{
    const auto* listed = m_state.backends().find(backend.id);
    if (!listed || listed->draining)
        return;
    const server_life life { backend.id, backend.incarnation };
    m_servers.insert_or_assign(life, backend);
    switch (m_detector.noteLost(life, call, m_context.now())) {
    case crash_detector::finding::crashed:
        report(life, call);
        tell();
        break;
    case crash_detector::finding::look:
        // What listens there now would say nothing of the life before.
        if (startedAnew(life))
            noteCrashed(life, backend.address, "it was started anew");
        else
            asio::co_spawn(m_context.io(), look(backend), asio::detached);
        break;
    case crash_detector::finding::wait:
        break;
    }
}

// A refused connection is the one sure sign of an ended process: a server that only broke off
// its calls, or whose group stands still, goes on listening; one that is cut off does not answer.
awaitable<void> crash_reporter::look(listed_backend backend)
{
    const server_life life { backend.id, backend.incarnation };
    const auto endpoint = parseEndpoint(backend.address);
    if (!endpoint) {
        m_detector.noteNoAnswer(life);
        co_return;
    }
    boost::beast::tcp_stream stream(m_context.io());
    stream.expires_after(serverConnectTimeout);
    const auto [error] = co_await stream.async_connect(endpoint.value(), asio::as_tuple(asio::use_awaitable));
    if (error == asio::error::connection_refused)
        noteCrashed(life, backend.address, "nothing listens at its address");
    else if (error)
        m_detector.noteNoAnswer(life);
    else
        m_detector.noteAlive(life, m_context.now());
}

void crash_reporter::noteCrashed(const server_life& life, const std::string& address, const std::string& why)
{
    const auto calls = m_detector.noteCrashed(life, m_context.now());
    m_context.counters().add(metric::servers_crashed);
    m_log.line("server_crashed").add("backend", life.id).add("address", address).add("incarnation", life.incarnation).add("reason", why).add("calls", calls.size());
    for (const auto& call : calls)
        report(life, call);
    tell();
}

void crash_reporter::tell()
{
    if (m_onNews)
        m_onNews();
}

void crash_reporter::noteServed(request_fingerprint request)
{
    m_history.noteServed(request, m_context.now());
    tell();
}

void crash_reporter::report(const server_life& life, const lost_call& call)
{
    m_history.noteCrash(call.request, hashOf(life), call.events, m_context.now());
    m_context.counters().add(metric::calls_crashed);
    m_log.requestLine("call_crashed").add("request", call.requestId).add("fingerprint", toString(call.request)).add("backend", life.id).add("ran_ms", call.lostAt - call.sentAt).add("events", call.events);
}

bool crash_reporter::startedAnew(const server_life& life) const
{
    const auto held = m_servers.find(life);
    if (held == m_servers.end())
        return false;
    const auto* listed = m_state.backends().find(life.id);
    if (listed && listed->incarnation != life.incarnation)
        return true;
    const auto* successor = m_state.backends().findByAddress(held->second.address);
    return successor && successor->id != life.id;
}

void crash_reporter::logBarred()
{
    const auto barred = m_history.barred(m_context.now());
    const std::set<request_fingerprint> now(barred.begin(), barred.end());
    for (const auto& [record, age] : m_history.repeated(m_context.now())) {
        const bool isBarred = now.contains(record.request);
        if (isBarred != m_barred.contains(record.request))
            m_log.line(isBarred ? "request_barred" : "request_cleared").add("fingerprint", toString(record.request)).add("crashes", record.crashes.size()).add("served", static_cast<int>(record.served)).add("age_ms", age);
    }
    m_barred = now;
    m_context.counters().set(metric::requests_barred, static_cast<double>(m_barred.size()));
}

void crash_reporter::settle()
{
    const auto undecided = m_detector.undecided();
    for (const auto& life : undecided) {
        if (startedAnew(life))
            noteCrashed(life, m_servers.at(life).address, "it was started anew");
    }
    m_detector.settle(m_context.now());
    m_history.settle(m_context.now());
    logBarred();
    const auto left = m_detector.undecided();
    std::erase_if(m_servers, [&left](const auto& held) { return std::find(left.begin(), left.end(), held.first) == left.end(); });
}

} // namespace rampgap
