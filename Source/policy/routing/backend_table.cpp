#include "policy/routing/backend_table.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    constexpr milliseconds firstSuspicion { 500 };
    constexpr int maxSuspicionDoublings = 5;
    // An agent that stops reports "leaving"; after this time a restarted one is tried again.
    constexpr milliseconds leavingDuration { 2'000 };
    constexpr milliseconds slowStart { 5'000 };
    constexpr double slowStartFactor = 3;
    constexpr double defaultRunMs = 400;
    // After this time a report of others' load counts half: many entry VMs that act on the same
    // old report would all choose the same backend.
    constexpr std::chrono::duration<double> reportHalfLife { 0.05 };
    constexpr double meanWeight = 0.05;

    const std::vector<backend_id> emptyPool;

} // namespace

backend_table::backend_table(std::string zone)
    : m_zone(std::move(zone))
{
}

void backend_table::apply(const declaration& current, instant now)
{
    m_pools.clear();
    m_zonePools.clear();
    for (auto& view : m_views) {
        if (!current.findBackend(view.name))
            view.state = backend_state::stopped;
    }
    const bool first = m_views.empty();
    for (const auto& declared : current.backends()) {
        const auto [position, added] = m_ids.try_emplace(declared.name, static_cast<backend_id>(m_views.size()));
        if (added) {
            m_views.emplace_back();
            // All backends are new to an entry VM that starts: slow start is for those added later.
            m_views.back().joinedAt = first ? now - slowStart : now;
        }
        const backend_id id = position->second;
        backend_view& view = m_views[id];
        if (view.address != declared.address && !added)
            view.state = backend_state::up;
        view.name = declared.name;
        view.zone = declared.zone;
        view.address = declared.address;
        view.serves = declared.serves;
        view.slots = declared.slots;
        view.sameZone = declared.zone == m_zone;
        if (declared.stopped)
            view.state = backend_state::stopped;
        else if (declared.draining) {
            view.state = backend_state::leaving;
            view.suspectUntil = instant::max();
        } else if (view.state == backend_state::stopped || view.suspectUntil == instant::max()) {
            view.state = backend_state::up;
            view.suspectUntil = now;
        }
        if (declared.stopped)
            continue;
        m_pools[declared.serves].push_back(id);
        if (view.sameZone)
            m_zonePools[declared.serves].push_back(id);
    }
}

void backend_table::recordListedLeaving(const std::vector<std::string>& names)
{
    for (const auto& name : names) {
        const backend_id id = find(name);
        if (id == noBackend || m_views[id].state == backend_state::stopped)
            continue;
        m_views[id].state = backend_state::leaving;
        m_views[id].suspectUntil = instant::max();
    }
}

void backend_table::recordSent(backend_id id)
{
    ++m_views[id].ownInFlight;
}

void backend_table::recordAnswered(backend_id id, const load_report& load, instant madeAt)
{
    backend_view& view = m_views[id];
    view.load = load;
    view.ownAtReport = view.ownInFlight;
    view.reportedAt = madeAt;
    m_meanOthers += meanWeight * (std::max(0, load.running + load.queued - view.ownAtReport) - m_meanOthers);
    view.failuresInRow = 0;
    if (view.state == backend_state::suspect)
        view.state = backend_state::up;
}

void backend_table::recordServed(backend_id id)
{
    if (mayHaveReturned(id))
        m_views[id].state = backend_state::up;
}

void backend_table::recordConnectFailure(backend_id id, instant now)
{
    backend_view& view = m_views[id];
    if (view.state == backend_state::stopped || view.suspectUntil == instant::max())
        return;
    const int doublings = std::min(view.failuresInRow, maxSuspicionDoublings);
    if (view.failuresInRow++ == 0)
        view.failingSince = now;
    view.state = backend_state::suspect;
    view.suspectUntil = now + firstSuspicion * (1 << doublings);
}

void backend_table::recordLeaving(backend_id id, instant now)
{
    backend_view& view = m_views[id];
    if (view.state == backend_state::stopped || view.suspectUntil == instant::max())
        return;
    view.state = backend_state::leaving;
    view.suspectUntil = now + leavingDuration;
}

void backend_table::recordPause(backend_id id, milliseconds pause, instant now)
{
    m_views[id].pausedUntil = now + pause;
}

void backend_table::recordEnded(backend_id id)
{
    if (m_views[id].ownInFlight > 0)
        --m_views[id].ownInFlight;
}

bool backend_table::usable(backend_id id, instant now) const
{
    const backend_view& view = m_views[id];
    if (now < view.pausedUntil)
        return false;
    if (view.state == backend_state::up)
        return true;
    return view.state != backend_state::stopped && now >= view.suspectUntil;
}

bool backend_table::mayHaveReturned(backend_id id) const
{
    const backend_view& view = m_views[id];
    return view.state != backend_state::stopped && view.suspectUntil != instant::max();
}

instant backend_table::failingSince(backend_id id, instant fallback) const
{
    return id == noBackend || m_views[id].failuresInRow == 0 ? fallback : m_views[id].failingSince;
}

backend_id backend_table::find(const std::string& name) const
{
    const auto found = m_ids.find(name);
    return found == m_ids.end() ? noBackend : found->second;
}

const std::vector<backend_id>& backend_table::pool(const std::string& service) const
{
    const auto found = m_pools.find(service);
    return found == m_pools.end() ? emptyPool : found->second;
}

const std::vector<backend_id>& backend_table::zonePool(const std::string& service) const
{
    const auto found = m_zonePools.find(service);
    return found == m_zonePools.end() ? emptyPool : found->second;
}

double backend_table::outstanding(backend_id id, instant now) const
{
    const backend_view& view = m_views[id];
    const double reported = std::max(0, view.load.running + view.load.queued - view.ownAtReport);
    const double reportWeight = std::exp2(-std::chrono::duration<double>(now - view.reportedAt) / reportHalfLife);
    return view.ownInFlight + reportWeight * reported + (1 - reportWeight) * m_meanOthers;
}

double backend_table::predictedWaitMs(backend_id id, instant now) const
{
    const backend_view& view = m_views[id];
    const double run = view.load.averageRunMs > 0 ? view.load.averageRunMs : defaultRunMs;
    const double outstandingRequests = outstanding(id, now);
    const double utilization = outstandingRequests / view.slots;
    const double queueing = std::max(0.0, outstandingRequests + 1 - view.slots) * run / view.slots;
    // A fuller batch slows each step, so part of the run time counts even while no queue forms.
    double wait = queueing + run * utilization * 0.25;
    const duration age = now - view.joinedAt;
    if (age < slowStart) {
        const double slowStartLeft = 1 - std::chrono::duration<double>(age) / std::chrono::duration<double>(slowStart);
        wait = (wait + run * 0.25) * (1 + slowStartFactor * slowStartLeft);
    }
    return wait;
}

} // namespace rampgap
