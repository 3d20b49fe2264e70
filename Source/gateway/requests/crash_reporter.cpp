#include "gateway/requests/crash_reporter.h"

#include <algorithm>

namespace rampgap {

crash_reporter::crash_reporter(process_context& context, decision_log& log, fleet_state& state, crash_history& history, http_request probeRequest)
    : m_context(context)
    , m_log(log)
    , m_state(state)
    , m_history(history)
    , m_watch(context, history, *this, std::move(probeRequest))
{
    m_history.onServerCrashed([this](std::uint32_t incarnationHash) { recordPeerReport(incarnationHash); });
}

// A leaving server ends the calls that it cannot finish, which is no crash. A server that is no
// longer listed counts as leaving, too.
bool crash_reporter::isCrashPossible(const listed_backend& backend) const
{
    const auto* listed = m_state.backends().find(backend.id);
    return listed && !listed->draining;
}

void crash_reporter::recordLostCall(const listed_backend& backend, const lost_call& call)
{
    if (!isCrashPossible(backend))
        return;
    const server_incarnation incarnation = incarnationOf(backend);
    m_addresses.insert_or_assign(incarnation, backend.address);
    // Whatever listens there now says nothing about the earlier incarnation.
    recordIfRestarted(incarnation, backend.address);
    m_watch.recordLost(incarnation, backend.address, call);
}

awaitable<server_fate> crash_reporter::awaitFate(listed_backend backend, lost_call call, bool settled)
{
    if (!isCrashPossible(backend)) {
        // Another server at its address has followed it.
        const bool replaced = hasRestarted(incarnationOf(backend), backend.address);
        if (replaced)
            co_return server_fate::ended;
        const auto left = co_await m_watch.lookAt(backend.address, settled);
        co_return left;
    }
    const instant endedAt = call.lostAt;
    recordLostCall(backend, call);
    const auto fate = co_await m_watch.awaitFate(incarnationOf(backend), endedAt, settled);
    co_return fate;
}

void crash_reporter::recordWithdrawnCall(const listed_backend& backend, const lost_call& call)
{
    if (!isCrashPossible(backend))
        return;
    m_addresses.insert_or_assign(incarnationOf(backend), backend.address);
    m_watch.recordWithdrawn(incarnationOf(backend), call);
}

void crash_reporter::recordRefusedConnection(const listed_backend& backend)
{
    if (isCrashPossible(backend))
        m_watch.recordRefusedConnection(incarnationOf(backend), backend.address);
}

void crash_reporter::recordPeerReport(std::uint32_t incarnationHash)
{
    if (const auto incarnation = m_watch.findUndecided(incarnationHash))
        m_watch.recordCrashed(*incarnation, m_addresses.at(*incarnation), "another process reported its end");
}

void crash_reporter::recordServed(request_fingerprint request)
{
    m_history.recordServed(request, m_context.now());
    notifyUpdate();
}

void crash_reporter::recordSurvived(const std::vector<request_fingerprint>& parts)
{
    m_history.recordPartsSurvived(parts, m_context.now());
    notifyUpdate();
}

void crash_reporter::onServerCrashed(const server_incarnation& incarnation, const std::string& address, const std::string& why, std::size_t calls)
{
    m_log.line("server_crashed").add("backend", incarnation.id).add("address", address).add("incarnation", incarnation.incarnation).add("reason", why).add("calls", calls);
}

void crash_reporter::onCallCrashed(const server_incarnation& incarnation, const lost_call& call)
{
    m_log.requestLine("call_crashed").add("request", call.requestId).add("fingerprint", toString(call.request)).add("backend", incarnation.id).add("ran_ms", call.lostAt - call.sentAt).add("events", call.events).add("parts", listOf(call.parts));
    notifyUpdate();
}

void crash_reporter::onProbeUnanswered(const server_incarnation& incarnation, const std::string& address, const std::string& reason)
{
    m_log.line("look_unanswered").add("backend", incarnation.id).add("address", address).add("reason", reason);
}

void crash_reporter::notifyUpdate()
{
    if (m_onUpdate)
        m_onUpdate();
}

bool crash_reporter::hasRestarted(const server_incarnation& incarnation, const std::string& address) const
{
    const auto* listed = m_state.backends().find(incarnation.id);
    if (listed && listed->incarnation != incarnation.incarnation)
        return true;
    const auto* successor = m_state.backends().findByAddress(address);
    return successor && successor->id != incarnation.id;
}

void crash_reporter::recordIfRestarted(const server_incarnation& incarnation, const std::string& address)
{
    if (hasRestarted(incarnation, address))
        m_watch.recordCrashed(incarnation, address, "it was restarted");
}

void crash_reporter::logBlocked()
{
    const auto blocked = m_history.blocked(m_context.now());
    const std::set<request_fingerprint> now(blocked.begin(), blocked.end());
    std::set<request_fingerprint> seen;
    for (const auto& [record, age] : m_history.repeated(m_context.now())) {
        const bool isBlocked = now.contains(record.request);
        // The crashes that a request is cleared of are in a second record.
        if (!seen.insert(record.request).second)
            continue;
        if (isBlocked != m_blocked.contains(record.request))
            m_log.line(isBlocked ? "request_barred" : "request_cleared").add("fingerprint", toString(record.request)).add("crashes", record.crashes.size()).add("part", record.partPosition).add("served", static_cast<int>(record.served)).add("age_ms", age);
    }
    m_blocked = now;
    m_context.counters().set(metric::requests_blocked, static_cast<double>(m_blocked.size()));
}

void crash_reporter::runPeriodicWork()
{
    for (const auto& incarnation : m_watch.undecided())
        recordIfRestarted(incarnation, m_addresses.at(incarnation));
    m_watch.expire();
    m_history.expire(m_context.now());
    logBlocked();
    const auto undecided = m_watch.undecided();
    std::erase_if(m_addresses, [&undecided](const auto& entry) { return std::find(undecided.begin(), undecided.end(), entry.first) == undecided.end(); });
}

} // namespace rampgap
