#include "agent/engine_guard.h"

#include "daemon/log.h"

namespace rampgap {

engine_guard::engine_guard(process_context& context, crash_history& history, std::string name, std::string engine)
    : m_context(context)
    , m_history(history)
    , m_watch(context, history, *this, http_request { http::verb::options, "*", 11 })
    , m_engine(std::move(engine))
    , m_life { std::move(name), context.incarnation() }
{
}

std::optional<failure> engine_guard::barred(request_fingerprint request, const std::vector<request_fingerprint>& parts)
{
    return m_history.refuseBlocked(request, parts, m_context.now());
}

awaitable<void> engine_guard::recordLost(server_incarnation life, lost_call call)
{
    m_watch.expire();
    m_watch.recordLost(life, m_engine, call);
    co_await m_watch.awaitProbe(std::move(life));
}

awaitable<server_fate> engine_guard::awaitFate(server_incarnation life, lost_call call, bool settled)
{
    m_watch.expire();
    const instant endedAt = call.lostAt;
    m_watch.recordLost(life, m_engine, call);
    const auto fate = co_await m_watch.awaitFate(std::move(life), endedAt, settled);
    co_return fate;
}

void engine_guard::recordServed(request_fingerprint request, const std::vector<request_fingerprint>& parts)
{
    m_history.recordPartsSurvived(parts, m_context.now());
    m_history.recordServed(request, m_context.now());
    tell();
}

void engine_guard::onServerCrashed(const server_incarnation& life, const std::string& address, const std::string& why, std::size_t calls)
{
    if (life == m_life)
        ++m_life.incarnation;
    logWarning("engine_crashed", "engine=" + address + " reason=\"" + why + "\" calls=" + std::to_string(calls));
}

void engine_guard::onCallCrashed(const server_incarnation&, const lost_call& call)
{
    logStateChange("call_crashed", "request=" + call.requestId + " fingerprint=" + toString(call.request) + " events=" + std::to_string(call.events) + " parts=" + listOf(call.parts));
    tell();
}

void engine_guard::onProbeUnanswered(const server_incarnation&, const std::string& address, const std::string& reason)
{
    logWarning("look_unanswered", "engine=" + address + " reason=\"" + reason + "\"");
}

void engine_guard::tell()
{
    if (m_onNews && m_history.hasUpdates())
        m_onNews();
}

} // namespace rampgap
