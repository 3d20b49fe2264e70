#include "policy/requests/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    constexpr double averageWeight = 0.1;
    constexpr milliseconds minRetryAfter { 100 };

} // namespace

admission_queue::admission_queue(admission_limits limits)
    : m_limits(limits)
{
}

milliseconds admission_queue::averageRun() const
{
    return milliseconds(static_cast<std::int64_t>(m_averageRunMs));
}

duration admission_queue::predictedWait(const std::string& workspace, int priority) const
{
    if (running() < m_limits.slots)
        return duration::zero();
    // Served first are all requests of higher priority, those of the own lane and, since lanes of one
    // priority take fair turns, at most that number and one of each other lane of this priority.
    std::size_t ahead = 1;
    std::size_t ownLane = 0;
    const auto level = m_levels.find(priority);
    if (level != m_levels.end()) {
        const auto lane = level->second.find(workspace);
        ownLane = lane == level->second.end() ? 0 : lane->second.queue.size();
        for (const auto& [name, other] : level->second)
            ahead += name == workspace ? ownLane : std::min(ownLane + 1, other.queue.size());
    }
    for (const auto& [higher, lanes] : m_levels) {
        if (higher >= priority)
            break;
        for (const auto& [name, other] : lanes)
            ahead += other.queue.size();
    }
    const double waitMs = m_averageRunMs * static_cast<double>(ahead) / std::max(1, m_limits.slots);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(waitMs));
}

failure admission_queue::shedFailure(duration wait) const
{
    const auto retry = std::max(minRetryAfter, std::chrono::duration_cast<milliseconds>(wait));
    return notRun(failure_reason::queue_full, "the predicted wait exceeds the deadline or the queue is full", retry);
}

admission_id admission_queue::offer(const admission_request& request, instant now, admission_outcome& outcome)
{
    const admission_id id = m_nextId++;
    const duration wait = predictedWait(request.workspace, request.priority);
    const auto run = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(m_averageRunMs));
    if (now >= request.deadline || (m_shedding && wait > duration::zero() && now + wait + run > request.deadline)) {
        outcome.refused.emplace_back(id, shedFailure(wait));
        return id;
    }
    if (running() >= m_limits.slots && m_queued >= m_limits.maxQueued && !evictFromLongestLane(request.workspace, outcome)) {
        outcome.refused.emplace_back(id, shedFailure(wait));
        return id;
    }
    m_levels[request.priority][request.workspace].queue.push_back({ id, request.deadline });
    ++m_queued;
    startWaiting(now, outcome);
    return id;
}

// Refuses the newest request of the workspace with the most waiting requests, of its least urgent
// lane, if that workspace has more of them than the new request's workspace would have.
bool admission_queue::evictFromLongestLane(const std::string& workspace, admission_outcome& outcome)
{
    std::map<std::string, std::size_t> queuedByWorkspace;
    for (const auto& [priority, lanes] : m_levels) {
        for (const auto& [name, lane] : lanes)
            queuedByWorkspace[name] += lane.queue.size();
    }
    const auto longest = std::max_element(queuedByWorkspace.begin(), queuedByWorkspace.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (longest == queuedByWorkspace.end() || longest->second <= queuedByWorkspace[workspace] + 1)
        return false;
    for (auto lanes = m_levels.rbegin(); lanes != m_levels.rend(); ++lanes) {
        const auto lane = lanes->second.find(longest->first);
        if (lane == lanes->second.end() || lane->second.queue.empty())
            continue;
        const admission_id victim = lane->second.queue.back().id;
        lane->second.queue.pop_back();
        --m_queued;
        outcome.refused.emplace_back(victim, shedFailure(predictedWait(longest->first, lanes->first)));
        return true;
    }
    return false;
}

std::map<int, admission_queue::level>::iterator admission_queue::nextLevel()
{
    const auto hasWaiting = [](const auto& entry) {
        return std::any_of(entry.second.begin(), entry.second.end(), [](const auto& lane) { return !lane.second.queue.empty(); });
    };
    const auto reserved = m_levels.find(m_reserved.priority);
    const bool reservedWaits = m_reserved.nth > 0 && reserved != m_levels.end() && hasWaiting(*reserved);
    if (!reservedWaits)
        return std::find_if(m_levels.begin(), m_levels.end(), hasWaiting);
    if (++m_startsSinceReserved < m_reserved.nth)
        return std::find_if(m_levels.begin(), m_levels.end(), hasWaiting);
    m_startsSinceReserved = 0;
    return reserved;
}

void admission_queue::startWaiting(instant now, admission_outcome& outcome)
{
    while (running() < m_limits.slots && m_queued > 0) {
        const auto lanes = nextLevel();
        auto chosen = lanes->second.end();
        double lowestServed = 0;
        for (auto lane = lanes->second.begin(); lane != lanes->second.end(); ++lane) {
            if (lane->second.queue.empty())
                continue;
            const double served = std::max(m_floor, m_served[lane->first]);
            if (chosen == lanes->second.end() || served < lowestServed) {
                chosen = lane;
                lowestServed = served;
            }
        }
        const waiting next = chosen->second.queue.front();
        chosen->second.queue.pop_front();
        --m_queued;
        if (now >= next.deadline) {
            outcome.refused.emplace_back(next.id, shedFailure(duration::zero()));
            continue;
        }
        // A workspace that was idle starts at m_floor: it gets no credit for the time without requests.
        m_floor = lowestServed;
        m_served[chosen->first] = lowestServed + 1;
        m_running.emplace(next.id, chosen->first);
        outcome.started.push_back(next.id);
    }
    for (auto& [priority, lanes] : m_levels)
        std::erase_if(lanes, [](const auto& lane) { return lane.second.queue.empty(); });
    std::erase_if(m_levels, [](const auto& entry) { return entry.second.empty(); });
    std::erase_if(m_served, [&](const auto& entry) { return entry.second <= m_floor; });
}

void admission_queue::finish(admission_id id, duration ran, instant now, admission_outcome& outcome)
{
    if (m_running.erase(id) == 0)
        return;
    const double ranMs = std::chrono::duration<double, std::milli>(ran).count();
    m_averageRunMs = m_averageRunMs == 0 ? ranMs : m_averageRunMs + averageWeight * (ranMs - m_averageRunMs);
    // A request that can no longer finish by its deadline must not take the free slot.
    if (m_shedding)
        shed(now, outcome);
    startWaiting(now, outcome);
}

void admission_queue::withdraw(admission_id id)
{
    for (auto& [priority, lanes] : m_levels) {
        for (auto& [name, lane] : lanes) {
            const auto removed = std::erase_if(lane.queue, [&](const waiting& entry) { return entry.id == id; });
            m_queued -= static_cast<int>(removed);
        }
    }
}

void admission_queue::shed(instant now, admission_outcome& outcome)
{
    const auto run = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(m_averageRunMs));
    for (auto& [priority, lanes] : m_levels) {
        for (auto& [name, lane] : lanes) {
            std::erase_if(lane.queue, [&](const waiting& entry) {
                const bool late = now >= entry.deadline || (m_shedding && now + run > entry.deadline);
                if (late) {
                    outcome.refused.emplace_back(entry.id, shedFailure(run));
                    --m_queued;
                }
                return late;
            });
        }
    }
}

} // namespace rampgap
