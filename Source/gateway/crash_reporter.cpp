#include "gateway/crash_reporter.h"

#include <algorithm>

namespace rampgap {

crash_reporter::crash_reporter(process_context& context, decision_log& log, fleet_state& state, crash_history& history, http_request ping)
    : m_context(context)
    , m_log(log)
    , m_state(state)
    , m_history(history)
    , m_watch(context, history, *this, std::move(ping))
{
    m_history.onServerCrashed([this](std::uint32_t lifeHash) { noteEndTold(lifeHash); });
}

// A server that leaves ends what it cannot finish; that is no crash. What is not listed any
// more is leaving, too.
bool crash_reporter::mayHaveCrashed(const listed_backend& backend) const
{
    const auto* listed = m_state.backends().find(backend.id);
    return listed && !listed->draining;
}

void crash_reporter::recordLost(const listed_backend& backend, const lost_call& call)
{
    if (!mayHaveCrashed(backend))
        return;
    const server_incarnation life = lifeOf(backend);
    m_addresses.insert_or_assign(life, backend.address);
    // What listens there now says nothing of the life before.
    noteIfStartedAnew(life, backend.address);
    m_watch.recordLost(life, backend.address, call);
}

void crash_reporter::recordWithdrawn(const listed_backend& backend, const lost_call& call)
{
    if (!mayHaveCrashed(backend))
        return;
    m_addresses.insert_or_assign(lifeOf(backend), backend.address);
    m_watch.recordWithdrawn(lifeOf(backend), call);
}

void crash_reporter::noteRefused(const listed_backend& backend)
{
    if (mayHaveCrashed(backend))
        m_watch.noteRefused(lifeOf(backend), backend.address);
}

void crash_reporter::noteEndTold(std::uint32_t lifeHash)
{
    if (const auto life = m_watch.findUndecided(lifeHash))
        m_watch.recordCrashed(*life, m_addresses.at(*life), "another process saw it end");
}

void crash_reporter::recordServed(request_fingerprint request)
{
    m_history.recordServed(request, m_context.now());
    tell();
}

void crash_reporter::onServerCrashed(const server_incarnation& life, const std::string& address, const std::string& why, std::size_t calls)
{
    m_log.line("server_crashed").add("backend", life.id).add("address", address).add("incarnation", life.incarnation).add("reason", why).add("calls", calls);
}

void crash_reporter::onCallCrashed(const server_incarnation& life, const lost_call& call)
{
    m_log.requestLine("call_crashed").add("request", call.requestId).add("fingerprint", toString(call.request)).add("backend", life.id).add("ran_ms", call.lostAt - call.sentAt).add("events", call.events);
    tell();
}

void crash_reporter::onLookUnanswered(const server_incarnation& life, const std::string& address, const std::string& reason)
{
    m_log.line("look_unanswered").add("backend", life.id).add("address", address).add("reason", reason);
}

void crash_reporter::tell()
{
    if (m_onNews)
        m_onNews();
}

bool crash_reporter::startedAnew(const server_incarnation& life, const std::string& address) const
{
    const auto* listed = m_state.backends().find(life.id);
    if (listed && listed->incarnation != life.incarnation)
        return true;
    const auto* successor = m_state.backends().findByAddress(address);
    return successor && successor->id != life.id;
}

void crash_reporter::noteIfStartedAnew(const server_incarnation& life, const std::string& address)
{
    if (startedAnew(life, address))
        m_watch.recordCrashed(life, address, "it was started anew");
}

void crash_reporter::logBarred()
{
    const auto barred = m_history.blocked(m_context.now());
    const std::set<request_fingerprint> now(barred.begin(), barred.end());
    std::set<request_fingerprint> seen;
    for (const auto& [record, age] : m_history.repeated(m_context.now())) {
        const bool isBarred = now.contains(record.request);
        // What it is cleared of stands in a second record.
        if (!seen.insert(record.request).second)
            continue;
        if (isBarred != m_barred.contains(record.request))
            m_log.line(isBarred ? "request_barred" : "request_cleared").add("fingerprint", toString(record.request)).add("crashes", record.crashes.size()).add("served", static_cast<int>(record.served)).add("age_ms", age);
    }
    m_barred = now;
    m_context.counters().set(metric::requests_barred, static_cast<double>(m_barred.size()));
}

void crash_reporter::settle()
{
    for (const auto& life : m_watch.undecided())
        noteIfStartedAnew(life, m_addresses.at(life));
    m_watch.settle();
    m_history.expire(m_context.now());
    logBarred();
    const auto left = m_watch.undecided();
    std::erase_if(m_addresses, [&left](const auto& held) { return std::find(left.begin(), left.end(), held.first) == left.end(); });
}

} // namespace rampgap
