#include "policy/group_monitor.h"

#include "policy/placement_number.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Load may grow by half within the second that a change takes to be decided and copied.
    constexpr double loadHeadroom = 1.5;
    // Of the longest gap: passes are 0.15 longer while experts are copied, and vary as much.
    constexpr double easyPartOfGap = 0.75;
    constexpr double bitsPerByte = 8;
    constexpr double millisecondsPerSecond = 1'000;
    // Least gain of a change, as a share of the predicted step time: one that costs nothing,
    // and for each second of a copy. Steps take 0.15 longer while experts are copied, and
    // demand was recorded to stay for 3 s and more; with 0.9 a second, experts that take 0.4 s
    // to copy were copied once a shift, and the most loaded rank had 1.99 times the mean in
    // place of 1.61 (replayed counts of four recorded days).
    constexpr double freeChangeGain = 0.03;
    constexpr double gainPerCopySecond = 0.15;
    // The same while passes are short enough with half as much work again: half of the copies
    // (864 and 1,721 in 30 s of shifts replayed), passes of 70 in place of 66 ms, none later.
    constexpr double gainAtEase = 0.16;

} // namespace

double expertCopyMs(const engine_costs& costs)
{
    return std::max(1.0, costs.expertMb * bitsPerByte * millisecondsPerSecond / std::max(1.0, costs.linkMbps));
}

monitor_settings monitorSettingsFor(const engine_costs& costs)
{
    monitor_settings settings;
    settings.demand.layerSets = static_cast<std::size_t>(costs.layerSets);
    settings.demand.experts = static_cast<std::size_t>(costs.experts);
    settings.limits.slotsPerRank = static_cast<std::size_t>(costs.slotsPerRank);
    settings.limits.newPerSet = static_cast<std::size_t>(costs.newExpertsPerPrepare);
    settings.limits.newPerRank = std::max<std::size_t>(1, static_cast<std::size_t>(longestCopyMs / expertCopyMs(costs)));
    const double changeCopyMs = expertCopyMs(costs) * static_cast<double>(settings.limits.newPerRank);
    settings.leastGain = freeChangeGain + gainPerCopySecond * changeCopyMs / millisecondsPerSecond;
    settings.leastGainAtEase = std::max(settings.leastGain, gainAtEase);
    settings.costs = costs;
    return settings;
}

group_monitor::group_monitor(monitor_settings settings)
    : m_settings(settings)
    , m_demand(settings.demand)
{
}

void group_monitor::follow(const std::string& group)
{
    if (group == m_group)
        return;
    const milliseconds gap = m_longestGap;
    *this = group_monitor(m_settings);
    m_longestGap = gap;
    m_group = group;
}

void group_monitor::reset(std::uint64_t epoch)
{
    m_epoch = epoch;
    m_ranks.clear();
    m_highestPlacement = 0;
    m_knownPlacement.reset();
    m_straySince.reset();
}

void group_monitor::observe(const rank_observation& seen, instant now)
{
    if (m_group.empty())
        follow(seen.view.group);
    if (seen.view.group != m_group || seen.view.epoch < m_epoch)
        return;
    if (seen.view.epoch > m_epoch)
        reset(seen.view.epoch);
    if (isOutdated(seen.view, now))
        return;
    m_size = seen.view.groupSize;
    m_highestPlacement = std::max({ m_highestPlacement, seen.view.placementInUse, seen.view.preparedPlacement, seen.view.armedPlacement });
    m_ranks[seen.view.rank] = { seen, now };
    noteChoices(seen.choices, now);
}

void group_monitor::noteChoices(const std::vector<std::uint64_t>& choices, instant now)
{
    m_demand.add(choices, now);
}

void group_monitor::learn(std::uint64_t placement, group_placement contents)
{
    m_knownPlacement = placement;
    m_current = std::make_shared<const group_placement>(std::move(contents));
}

void group_monitor::noteChanged(std::uint64_t placement, group_placement contents)
{
    m_highestPlacement = std::max(m_highestPlacement, placement);
    learn(placement, std::move(contents));
    noteEnded();
}

void group_monitor::noteEnded()
{
    m_straySince.reset();
}

// A view from afar is some hundred ms old: where a fresh one has just shown another incarnation
// of the engine, it is of the one before.
bool group_monitor::isOutdated(const rank_view& seen, instant now) const
{
    const auto held = m_ranks.find(seen.rank);
    if (seen.fresh || held == m_ranks.end() || !held->second.last.view.fresh)
        return false;
    return seen.incarnation != held->second.last.view.incarnation && now - held->second.at < m_settings.observationLife;
}

bool group_monitor::complete(instant now) const
{
    if (m_size == 0 || m_ranks.size() != m_size)
        return false;
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto& rank) {
        return rank.second.last.view.open && now - rank.second.at < m_settings.observationLife;
    });
}

leader_task group_monitor::decide(instant now)
{
    if (!holds().empty()) {
        if (!m_straySince)
            m_straySince = now;
        return now - *m_straySince >= m_settings.strayLife ? leader_task::clean_up : leader_task::none;
    }
    m_straySince.reset();
    // Armed without a hold: a change that was released and whose step is yet to begin. To
    // disarm now could leave the ranks with two placements.
    if (armedPlacement() != 0)
        return leader_task::none;
    if (now < m_pauseUntil || !complete(now) || !m_demand.known())
        return leader_task::none;
    const std::uint64_t inUse = placementInUse();
    const bool same = std::all_of(m_ranks.begin(), m_ranks.end(), [inUse](const auto& rank) { return rank.second.last.view.placementInUse == inUse; });
    // Reports of the ranks are a moment apart: around a change they may differ.
    if (!same)
        return leader_task::none;
    if (m_knownPlacement != inUse)
        return leader_task::learn_placement;
    const expert_shares estimate = m_demand.shares();
    const rank_paces pace = paces();
    m_currentSkew = groupSkew(*m_current, estimate, pace);
    // A plan costs processor time: none is made where it could not gain enough, and not
    // again before there is something new to plan from.
    const double best = m_settings.limits.targetSkew;
    const double leastGain = atEase() ? m_settings.leastGainAtEase : m_settings.leastGain;
    if (m_currentSkew - best < leastGain * m_currentSkew)
        return leader_task::none;
    m_pauseUntil = now + m_settings.planPause;
    m_planned = planPlacement(*m_current, estimate, pace, m_settings.limits);
    m_plannedSkew = groupSkew(m_planned, estimate, pace);
    return m_currentSkew - m_plannedSkew > leastGain * m_currentSkew ? leader_task::change_placement : leader_task::none;
}

// Load pattern: demand shifts each three seconds at half of the load that the group can carry.
// The first two changes after a shift bring nearly all that callers notice; three or four more
// take the last 0.1 off the skew, and copies are dear.
bool group_monitor::atEase() const
{
    if (m_longestGap <= milliseconds(0) || m_settings.costs.stepMs <= 0)
        return false;
    int requests = 0;
    for (const auto& [rank, held] : m_ranks)
        requests += held.last.view.active + held.last.view.queued;
    const double mean = static_cast<double>(requests) / static_cast<double>(m_ranks.size());
    const double sequences = std::min<double>(m_settings.costs.capacity, 1 + loadHeadroom * mean);
    const double pass = passTime(m_settings.costs, sequences, { m_currentSkew, slowestPace() });
    return pass <= easyPartOfGap * static_cast<double>(m_longestGap.count());
}

rank_paces group_monitor::paces() const
{
    rank_paces all(m_size, 1.0);
    for (const auto& [rank, held] : m_ranks) {
        if (rank < m_size)
            all[rank] = std::max(1.0, held.last.view.pace);
    }
    return all;
}

numbered_placement group_monitor::current() const
{
    if (!m_knownPlacement)
        return {};
    return { *m_knownPlacement, m_current };
}

double group_monitor::slowestPace() const
{
    const rank_paces all = paces();
    return all.empty() ? 1 : *std::max_element(all.begin(), all.end());
}

double group_monitor::skewNow() const
{
    if (!m_knownPlacement || m_knownPlacement != placementInUse() || !m_demand.known())
        return 1;
    return groupSkew(*m_current, m_demand.shares(), paces());
}

std::uint64_t group_monitor::nextPlacement(std::uint32_t leaderRank, std::uint64_t wallMs) const
{
    return placementNumber(std::max(m_highestPlacement / leadersPerNumber + 1, wallMs), leaderRank);
}

std::vector<std::string> group_monitor::backendIds() const
{
    std::vector<std::string> ids(m_size);
    for (const auto& [rank, held] : m_ranks) {
        if (rank < m_size)
            ids[rank] = held.last.backendId;
    }
    return ids;
}

std::optional<rank_view> group_monitor::view(std::uint32_t rank) const
{
    const auto held = m_ranks.find(rank);
    if (held == m_ranks.end())
        return std::nullopt;
    return held->second.last.view;
}

std::vector<std::pair<std::size_t, std::uint64_t>> group_monitor::holds() const
{
    std::vector<std::pair<std::size_t, std::uint64_t>> found;
    for (const auto& [rank, held] : m_ranks) {
        if (held.last.view.heldStep != 0)
            found.emplace_back(rank, held.last.view.heldStep);
    }
    return found;
}

std::uint64_t group_monitor::armedPlacement() const
{
    for (const auto& [rank, held] : m_ranks) {
        if (held.last.view.armedPlacement != 0)
            return held.last.view.armedPlacement;
    }
    return 0;
}

std::uint64_t group_monitor::placementInUse() const
{
    std::uint64_t newest = 0;
    for (const auto& [rank, held] : m_ranks)
        newest = std::max(newest, held.last.view.placementInUse);
    return newest;
}

} // namespace rampgap
