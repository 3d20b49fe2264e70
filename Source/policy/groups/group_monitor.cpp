#include "policy/groups/group_monitor.h"

#include <algorithm>

namespace rampgap {

namespace {

    // The load may grow by half within the second that it takes to decide a change and copy its experts.
    constexpr double loadHeadroom = 1.5;
    // Largest predicted pass, as a share of the longest gap that callers accept. The rest is for copies of experts, which lengthen
    // passes by the 15 in 100 that the engines' protocol states, and for passes that differ from the prediction.
    constexpr double headroomPartOfGap = 0.75;
    constexpr double bitsPerByte = 8;
    constexpr double millisecondsPerSecond = 1'000;
    // The smallest gain that justifies a change, as a share of the predicted step time: for a change that copies nothing, and on top
    // of it for each second of copying, in which steps take longer. A larger share would leave most of a shift of demand unanswered
    // where experts take long to copy.
    constexpr double freeChangeGain = 0.03;
    constexpr double gainPerCopySecond = 0.15;
    // The same for a group with headroom: fewer copies, and passes that are hardly longer.
    constexpr double minGainIfHeadroom = 0.16;
    // Clean-ups after a takeover that don't wait whether the hold belongs to a change in progress: one
    // without the silent rank, and one with it where the others' states prove nothing. Further ones would
    // only send orders to an engine that does not answer.
    constexpr int immediateCleanUps = 2;

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
    settings.limits.maxNewPerSet = static_cast<std::size_t>(costs.newExpertsPerPrepare);
    settings.limits.maxNewPerRank = std::max<std::size_t>(1, static_cast<std::size_t>(maxCopyMs / expertCopyMs(costs)));
    const double changeCopyMs = expertCopyMs(costs) * static_cast<double>(settings.limits.maxNewPerRank);
    settings.minGain = freeChangeGain + gainPerCopySecond * changeCopyMs / millisecondsPerSecond;
    settings.minGainWithHeadroom = std::max(settings.minGain, minGainIfHeadroom);
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
    m_strayHoldSince.reset();
}

void group_monitor::observe(const rank_observation& observation, instant now)
{
    if (m_group.empty())
        follow(observation.view.group);
    if (observation.view.group != m_group || observation.view.epoch < m_epoch)
        return;
    if (observation.view.epoch > m_epoch)
        reset(observation.view.epoch);
    if (isOutdated(observation.view, now))
        return;
    m_size = observation.view.groupSize;
    m_highestPlacement = std::max({ m_highestPlacement, observation.view.placementInUse, observation.view.preparedPlacement, observation.view.armedPlacement });
    m_ranks[observation.view.rank] = { observation, now };
    recordChoices(observation.choices, now);
}

void group_monitor::recordChoices(const std::vector<std::uint64_t>& choices, instant now)
{
    m_demand.add(choices, now);
}

void group_monitor::setPlacement(std::uint64_t placement, group_placement contents)
{
    m_knownPlacement = placement;
    m_current = std::make_shared<const group_placement>(std::move(contents));
}

void group_monitor::recordPlacementChange(std::uint64_t placement, group_placement contents)
{
    m_highestPlacement = std::max(m_highestPlacement, placement);
    setPlacement(placement, std::move(contents));
    recordChangeEnd();
}

void group_monitor::recordTakeover()
{
    m_ranks.clear();
    m_strayHoldSince.reset();
    m_immediateCleanUps = immediateCleanUps;
}

std::optional<std::size_t> group_monitor::unobservedRank() const
{
    if (m_ranks.size() + 1 != m_size)
        return std::nullopt;
    std::size_t rank = 0;
    while (m_ranks.contains(static_cast<std::uint32_t>(rank)))
        ++rank;
    return rank;
}

void group_monitor::recordChangeEnd()
{
    m_strayHoldSince.reset();
}

// True for a reading of an engine's previous process: one that another machine took, which may be some hundred ms old, and that
// names another start of the process than a reading which the engine's own machine took just before.
bool group_monitor::isOutdated(const rank_view& view, instant now) const
{
    const auto known = m_ranks.find(view.rank);
    if (view.fresh || known == m_ranks.end() || !known->second.last.view.fresh)
        return false;
    return view.incarnation != known->second.last.view.incarnation && now - known->second.at < m_settings.observationTimeout;
}

bool group_monitor::complete(instant now) const
{
    if (m_size == 0 || m_ranks.size() != m_size)
        return false;
    return std::all_of(m_ranks.begin(), m_ranks.end(), [&](const auto& rank) {
        return rank.second.last.view.open && now - rank.second.at < m_settings.observationTimeout;
    });
}

leader_task group_monitor::decide(instant now)
{
    if (!holds().empty()) {
        if (!m_strayHoldSince)
            m_strayHoldSince = now;
        if (m_immediateCleanUps > 0) {
            --m_immediateCleanUps;
            return leader_task::clean_up;
        }
        return now - *m_strayHoldSince >= m_settings.strayHoldTimeout ? leader_task::clean_up : leader_task::none;
    }
    m_strayHoldSince.reset();
    if (!m_ranks.empty())
        m_immediateCleanUps = 0;
    // Armed without a hold: a change that was released and whose step has not begun yet. Disarming
    // now could leave the ranks with two placements.
    if (armedPlacement() != 0)
        return leader_task::none;
    if (now < m_pauseUntil || !complete(now) || !m_demand.known())
        return leader_task::none;
    const std::uint64_t inUse = placementInUse();
    const bool uniform = std::all_of(m_ranks.begin(), m_ranks.end(), [inUse](const auto& rank) { return rank.second.last.view.placementInUse == inUse; });
    // The ranks report at slightly different times, so their reports may differ around a change.
    if (!uniform)
        return leader_task::none;
    if (m_knownPlacement != inUse)
        return leader_task::query_placement;
    const expert_shares estimate = m_demand.shares();
    const rank_paces pace = paces();
    m_currentSkew = groupSkew(*m_current, estimate, pace);
    // Planning costs processor time: it is skipped where even the best plan would not gain enough,
    // and until there are new counts to plan from.
    const double best = m_settings.limits.targetSkew;
    const double minGain = hasHeadroom() ? m_settings.minGainWithHeadroom : m_settings.minGain;
    if (m_currentSkew - best < minGain * m_currentSkew)
        return leader_task::none;
    m_pauseUntil = now + m_settings.planInterval;
    m_planned = planPlacement(*m_current, estimate, pace, m_settings.limits);
    m_plannedSkew = groupSkew(m_planned, estimate, pace);
    return m_currentSkew - m_plannedSkew > minGain * m_currentSkew ? leader_task::change_placement : leader_task::none;
}

// A group whose passes are short enough for its callers gains nothing that they notice from the last changes after a shift of
// demand, and each copy of experts has its price.
bool group_monitor::hasHeadroom() const
{
    if (m_longestGap <= milliseconds(0) || m_settings.costs.stepMs <= 0)
        return false;
    int requests = 0;
    for (const auto& [rank, known] : m_ranks)
        requests += known.last.view.active + known.last.view.queued;
    const double mean = static_cast<double>(requests) / static_cast<double>(m_ranks.size());
    const double sequences = std::min<double>(m_settings.costs.capacity, 1 + loadHeadroom * mean);
    const double pass = passTime(m_settings.costs, sequences, { m_currentSkew, slowestPace() });
    return pass <= headroomPartOfGap * static_cast<double>(m_longestGap.count());
}

group_progress group_monitor::progress() const
{
    group_progress found;
    found.epoch = m_epoch;
    found.steady = !m_ranks.empty();
    for (const auto& [rank, known] : m_ranks) {
        const rank_view& view = known.last.view;
        found.step = std::max(found.step, view.step);
        found.active += view.active;
        found.steady = found.steady && view.open && !view.holdsUp();
    }
    return found;
}

rank_paces group_monitor::paces() const
{
    rank_paces all(m_size, 1.0);
    for (const auto& [rank, known] : m_ranks) {
        if (rank < m_size)
            all[rank] = std::max(1.0, known.last.view.pace);
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

std::vector<std::string> group_monitor::backendIds() const
{
    std::vector<std::string> ids(m_size);
    for (const auto& [rank, known] : m_ranks) {
        if (rank < m_size)
            ids[rank] = known.last.backendId;
    }
    return ids;
}

std::optional<rank_view> group_monitor::view(std::uint32_t rank) const
{
    const auto known = m_ranks.find(rank);
    if (known == m_ranks.end())
        return std::nullopt;
    return known->second.last.view;
}

std::vector<std::pair<std::size_t, std::uint64_t>> group_monitor::holds() const
{
    std::vector<std::pair<std::size_t, std::uint64_t>> found;
    for (const auto& [rank, known] : m_ranks) {
        if (known.last.view.heldStep != 0)
            found.emplace_back(rank, known.last.view.heldStep);
    }
    return found;
}

std::uint64_t group_monitor::armedPlacement() const
{
    for (const auto& [rank, known] : m_ranks) {
        if (known.last.view.armedPlacement != 0)
            return known.last.view.armedPlacement;
    }
    return 0;
}

std::uint64_t group_monitor::placementInUse() const
{
    std::uint64_t newest = 0;
    for (const auto& [rank, known] : m_ranks)
        newest = std::max(newest, known.last.view.placementInUse);
    return newest;
}

} // namespace rampgap
