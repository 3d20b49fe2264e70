#include "policy/requests/admission_queue.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    constexpr double averageWeight = 0.1;
    constexpr milliseconds minRetryAfter { 100 };
    // Weight of one start in the shares of the levels: they follow a change of load within some 30 starts.
    constexpr double startWeight = 1.0 / 32;
    // Shares below it are forgotten.
    constexpr double minStartShare = 0.001;
    // Fraction of the starts that a forecast leaves at least to those that are overtaken.
    constexpr double minRemainingShare = 1.0 / 16;

} // namespace

admission_queue::admission_queue(admission_limits limits)
    : m_limits(limits)
{
}

milliseconds admission_queue::averageRun() const
{
    return milliseconds(static_cast<std::int64_t>(m_averageRunMs));
}

// Since lanes take fair turns, at most as many of each other lane go first as of the own one, and one more.
std::size_t admission_queue::turnsUntil(const level& lanes, const std::string& workspace)
{
    const auto own = lanes.find(workspace);
    const std::size_t ownLane = own == lanes.end() ? 0 : own->second.queue.size();
    std::size_t turns = 1;
    for (const auto& [name, other] : lanes)
        turns += name == workspace ? ownLane : std::min(ownLane + 1, other.queue.size());
    return turns;
}

duration admission_queue::predictedWait(const std::string& workspace, int priority, int urgency) const
{
    if (running() < m_limits.slots)
        return duration::zero();
    const level_key own { priority, urgency };
    const auto level = m_levels.find(own);
    std::size_t ahead = level == m_levels.end() ? 1 : turnsUntil(level->second, workspace);
    for (const auto& [key, lanes] : m_levels) {
        if (key >= own)
            break;
        for (const auto& [name, other] : lanes)
            ahead += other.queue.size();
    }
    const double waitMs = m_averageRunMs * static_cast<double>(ahead) / std::max(1, m_limits.slots);
    return std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(waitMs));
}

queue_forecast admission_queue::forecast(const std::string& workspace, int priority, int urgency) const
{
    const level_key own { priority, urgency };
    double higher = 0;
    double moreUrgent = 0;
    double turns = 1;
    // Classes of the own priority that share the starts reserved for the less urgent ones.
    int reservedClasses = 0;
    for (const auto& [key, lanes] : m_levels) {
        std::size_t waiting = 0;
        for (const auto& [name, lane] : lanes)
            waiting += lane.queue.size();
        if (key.priority < priority)
            higher += static_cast<double>(waiting);
        else if (key == own)
            turns = static_cast<double>(turnsUntil(lanes, workspace));
        else if (key.priority == priority && key.urgency < urgency)
            moreUrgent += static_cast<double>(waiting);
        if (key.priority == priority && key != own && waiting > 0)
            ++reservedClasses;
    }
    double overtaking = 0;
    double toReserved = 0;
    double toLessUrgent = 0;
    for (const auto& [key, share] : m_startShares) {
        if (key < own)
            overtaking += share;
        else if (key.priority == priority && key.urgency > urgency)
            toLessUrgent += share;
        else if (key.priority == m_reserved.priority && key.priority != priority)
            toReserved += share;
    }
    overtaking += std::min(toLessUrgent, 1.0 / lessUrgentNth);
    if (m_reserved.nth > 0)
        overtaking += std::min(toReserved, 1.0 / m_reserved.nth);
    double starts = (higher + moreUrgent + turns) / std::max(minRemainingShare, 1 - overtaking);
    if (moreUrgent > 0)
        starts = std::min(starts, higher + turns * lessUrgentNth * std::max(1, reservedClasses));
    if (m_reserved.nth > 0 && priority == m_reserved.priority)
        starts = std::min(starts, (starts - higher) * m_reserved.nth);
    return { static_cast<int>(higher + moreUrgent + turns) - 1, std::max(1.0, starts) };
}

failure admission_queue::shedFailure(duration wait) const
{
    const auto retry = std::max(minRetryAfter, std::chrono::duration_cast<milliseconds>(wait));
    return notRun(failure_reason::queue_full, "the predicted wait exceeds the deadline or the queue is full", retry);
}

admission_id admission_queue::offer(const admission_request& request, instant now, admission_outcome& outcome)
{
    const admission_id id = m_nextId++;
    const duration wait = predictedWait(request.workspace, request.priority, request.urgency);
    const auto run = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(m_averageRunMs));
    if (now >= request.deadline || (m_shedding && wait > duration::zero() && now + wait + run > request.deadline)) {
        outcome.refused.emplace_back(id, shedFailure(wait));
        return id;
    }
    if (running() >= m_limits.slots && m_queued >= m_limits.maxQueued && !evictFromLongestLane(request.workspace, outcome)) {
        outcome.refused.emplace_back(id, shedFailure(wait));
        return id;
    }
    m_levels[{ request.priority, request.urgency }][request.workspace].queue.push_back({ id, request.deadline });
    ++m_queued;
    startWaiting(now, outcome);
    return id;
}

// Refuses the newest request of the workspace with the most waiting requests, of its least urgent
// lane, if that workspace has more of them than the new request's workspace would have.
bool admission_queue::evictFromLongestLane(const std::string& workspace, admission_outcome& outcome)
{
    std::map<std::string, std::size_t> queuedByWorkspace;
    for (const auto& [key, lanes] : m_levels) {
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
        outcome.refused.emplace_back(victim, shedFailure(predictedWait(longest->first, lanes->first.priority, lanes->first.urgency)));
        return true;
    }
    return false;
}

bool admission_queue::hasWaiting(const level_map::value_type& entry)
{
    return std::any_of(entry.second.begin(), entry.second.end(), [](const auto& lane) { return !lane.second.queue.empty(); });
}

admission_queue::level_map::iterator admission_queue::nextLevel()
{
    const auto first = std::find_if(m_levels.begin(), m_levels.end(), hasWaiting);
    const auto isReserved = [this](const auto& entry) { return entry.first.priority == m_reserved.priority && hasWaiting(entry); };
    const bool reservedWaits = m_reserved.nth > 0 && std::any_of(m_levels.begin(), m_levels.end(), isReserved);
    if (!reservedWaits || ++m_startsSinceReserved < m_reserved.nth)
        return nextOfPriority(first->first.priority);
    m_startsSinceReserved = 0;
    return nextOfPriority(m_reserved.priority);
}

// Load pattern: for seconds the more urgent requests alone need all slots; strictly by urgency, the others would
// get none. The starts are counted for each priority: with one count for all, those that another reservation
// takes at the same rhythm would be the only ones that less urgent requests get.
admission_queue::level_map::iterator admission_queue::nextOfPriority(int priority)
{
    auto mostUrgent = m_levels.end();
    auto longestUnserved = m_levels.end();
    std::uint64_t oldestStart = 0;
    for (auto each = m_levels.begin(); each != m_levels.end(); ++each) {
        if (each->first.priority != priority || !hasWaiting(*each))
            continue;
        if (mostUrgent == m_levels.end()) {
            mostUrgent = each;
            continue;
        }
        const std::uint64_t lastStart = m_classes[each->first.urgency].lastStart;
        if (longestUnserved == m_levels.end() || lastStart < oldestStart) {
            longestUnserved = each;
            oldestStart = lastStart;
        }
    }
    if (longestUnserved == m_levels.end())
        return mostUrgent;
    int& starts = m_startsSinceLessUrgent[priority];
    if (++starts < lessUrgentNth)
        return mostUrgent;
    starts = 0;
    return longestUnserved;
}

void admission_queue::recordStart(level_key key)
{
    m_classes[key.urgency].lastStart = ++m_starts;
    for (auto& [other, share] : m_startShares)
        share *= 1 - startWeight;
    m_startShares[key] += startWeight;
    std::erase_if(m_startShares, [](const auto& entry) { return entry.second < minStartShare; });
}

void admission_queue::startWaiting(instant now, admission_outcome& outcome)
{
    while (running() < m_limits.slots && m_queued > 0) {
        const auto lanes = nextLevel();
        // Workspaces are compared within their urgency: a busy more urgent class would lift the floor above
        // all of a less urgent one, whose first workspace by name would then get all its starts.
        urgency_class& of = m_classes[lanes->first.urgency];
        auto chosen = lanes->second.end();
        double lowestServed = 0;
        for (auto lane = lanes->second.begin(); lane != lanes->second.end(); ++lane) {
            if (lane->second.queue.empty())
                continue;
            const double served = std::max(of.floor, of.served[lane->first]);
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
        // A workspace that was idle starts at the floor: it gets no credit for the time without requests.
        of.floor = lowestServed;
        of.served[chosen->first] = lowestServed + 1;
        recordStart(lanes->first);
        m_running.emplace(next.id, chosen->first);
        outcome.started.push_back(next.id);
    }
    for (auto& [key, lanes] : m_levels)
        std::erase_if(lanes, [](const auto& lane) { return lane.second.queue.empty(); });
    std::erase_if(m_levels, [](const auto& entry) { return entry.second.empty(); });
    for (auto& [urgency, each] : m_classes)
        std::erase_if(each.served, [&each = each](const auto& entry) { return entry.second <= each.floor; });
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
    for (auto& [key, lanes] : m_levels) {
        for (auto& [name, lane] : lanes) {
            const auto removed = std::erase_if(lane.queue, [&](const waiting& entry) { return entry.id == id; });
            m_queued -= static_cast<int>(removed);
        }
    }
}

void admission_queue::shed(instant now, admission_outcome& outcome)
{
    const auto run = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(m_averageRunMs));
    for (auto& [key, lanes] : m_levels) {
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
