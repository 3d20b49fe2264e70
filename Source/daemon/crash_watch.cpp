#include "daemon/crash_watch.h"

#include "daemon/scope_exit.h"
#include "daemon/server_probe.h"
#include "daemon/sleep.h"
#include "daemon/task.h"

namespace rampgap {

namespace {

    constexpr milliseconds resultPollInterval { 1 };
    constexpr milliseconds fatePollInterval { 5 };
    // A probe has no result if the connection is reset as the server ends, or is not made in time. The
    // number of probes is limited because callers wait for the result.
    constexpr int maxProbes = 3;
    constexpr milliseconds probeInterval { 20 };
    // Longest time between the first and the last socket that an ending process closes.
    constexpr milliseconds maxShutdownTime { 250 };

} // namespace

crash_watch::crash_watch(process_context& context, crash_history& history, crash_listener& listener, http_request probeRequest)
    : m_context(context)
    , m_history(history)
    , m_listener(listener)
    , m_probeRequest(std::move(probeRequest))
{
}

void crash_watch::recordLost(const server_incarnation& incarnation, const std::string& address, const lost_call& call)
{
    switch (m_detector.recordLost(incarnation, call, m_context.now())) {
    case crash_detector::finding::crashed:
        recordCallCrashed(incarnation, call);
        break;
    case crash_detector::finding::probe:
        startTask(m_context, "probe_server", probe(incarnation, address));
        break;
    case crash_detector::finding::wait:
        break;
    }
}

void crash_watch::recordWithdrawn(const server_incarnation& incarnation, const lost_call& call)
{
    if (m_detector.recordWithdrawn(incarnation, call, m_context.now()))
        recordCallCrashed(incarnation, call);
}

void crash_watch::recordRefusedConnection(const server_incarnation& incarnation, const std::string& address)
{
    if (m_detector.isUndecided(incarnation))
        recordCrashed(incarnation, address, "a connection to it was refused");
}

awaitable<void> crash_watch::awaitProbe(server_incarnation incarnation)
{
    while (isProbing(incarnation))
        co_await sleepFor(m_context.io(), resultPollInterval);
}

awaitable<server_fate> crash_watch::awaitFate(server_incarnation incarnation, instant endedAt, bool settled)
{
    const instant answeredAt = settled ? endedAt + maxShutdownTime : endedAt;
    while (isLookedAt(incarnation) && !hasCrashed(incarnation) && !m_detector.answeredSince(incarnation, answeredAt))
        co_await sleepFor(m_context.io(), settled ? fatePollInterval : resultPollInterval);
    if (hasCrashed(incarnation))
        co_return server_fate::ended;
    co_return m_detector.answeredSince(incarnation, answeredAt) ? server_fate::answers : server_fate::unknown;
}

awaitable<server_fate> crash_watch::lookAt(std::string address, bool settled)
{
    auto probed = co_await probeServer(m_context.io(), address, m_probeRequest);
    if (settled && probed.liveness == server_liveness::answers) {
        co_await sleepFor(m_context.io(), maxShutdownTime);
        probed = co_await probeServer(m_context.io(), address, m_probeRequest);
    }
    if (probed.liveness == server_liveness::answers)
        co_return server_fate::answers;
    co_return probed.liveness == server_liveness::gone ? server_fate::ended : server_fate::unknown;
}

// After the last probe without a result, a crash can still be learned from a refused connection, a later
// incarnation or a report of another process.
awaitable<void> crash_watch::probe(server_incarnation incarnation, std::string address)
{
    ++m_looks[incarnation];
    // Callers wait for the end of the probe.
    const scope_exit ended(m_context, [this, &incarnation] {
        if (m_detector.isProbing(incarnation))
            m_detector.recordUndecided(incarnation);
        if (--m_looks[incarnation] == 0)
            m_looks.erase(incarnation);
    });
    for (int probes = 1; m_detector.isProbing(incarnation); ++probes) {
        const auto probed = co_await probeServer(m_context.io(), address, m_probeRequest);
        if (probed.liveness == server_liveness::gone) {
            recordCrashed(incarnation, address, "nothing listens at its address");
            co_return;
        }
        if (probed.liveness != server_liveness::unknown) {
            if (probed.liveness == server_liveness::answers)
                m_detector.recordProbeAnswered(incarnation, m_context.now());
            m_detector.recordUndecided(incarnation);
            co_await confirm(incarnation, address, m_context.now());
            co_return;
        }
        m_listener.onProbeUnanswered(incarnation, address, probed.reason);
        if (probes == maxProbes) {
            m_detector.recordUndecided(incarnation);
            co_return;
        }
        co_await sleepFor(m_context.io(), probeInterval);
    }
}

// Callers don't wait for this. It decides whether the undecided calls count as running in a crash.
awaitable<void> crash_watch::confirm(server_incarnation incarnation, std::string address, instant listenedAt)
{
    co_await sleepFor(m_context.io(), maxShutdownTime);
    if (!m_detector.isUndecided(incarnation))
        co_return;
    const instant probedAt = m_context.now();
    const auto probed = co_await probeServer(m_context.io(), address, m_probeRequest);
    if (probed.liveness == server_liveness::answers)
        m_detector.recordProbeAnswered(incarnation, probedAt);
    if (probed.liveness == server_liveness::gone && m_detector.isUndecided(incarnation))
        recordCrashed(incarnation, address, "nothing listens at its address any more");
    else if (probed.liveness == server_liveness::answers || probed.liveness == server_liveness::listens)
        m_detector.recordAlive(incarnation, listenedAt);
}

void crash_watch::recordCrashed(const server_incarnation& incarnation, const std::string& address, const std::string& why)
{
    const bool alreadyKnown = m_detector.hasCrashed(incarnation, m_context.now());
    const auto calls = m_detector.recordCrashed(incarnation, m_context.now());
    if (!alreadyKnown) {
        m_context.counters().add(metric::servers_crashed);
        m_listener.onServerCrashed(incarnation, address, why, calls.size());
    }
    for (const auto& call : calls)
        recordCallCrashed(incarnation, call);
}

void crash_watch::recordCallCrashed(const server_incarnation& incarnation, const lost_call& call)
{
    m_history.recordCrash(call.request, hashOf(incarnation), call.events, m_context.now());
    m_history.recordPartsCrashed(call.parts, hashOf(incarnation), call.events, m_context.now());
    m_context.counters().add(metric::calls_crashed);
    m_listener.onCallCrashed(incarnation, call);
}

} // namespace rampgap
