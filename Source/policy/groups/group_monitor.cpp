#include "policy/groups/group_monitor.h"

#include "policy/groups/placement_number.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // The load may grow by half within the second that it takes to decide a change and copy its experts.
    constexpr double loadHeadroom = 1.5;
    // The same where a change is put off: the experts that were not copied are missing until the next change ends, and a wave
    // or a burst of callers doubles the load until then.
    constexpr double deferralHeadroom = 1.8;
    // Share of the longest gap that a predicted pass may take: passes are 0.15 longer while experts
    // are copied, and vary by as much.
    constexpr double headroomPartOfGap = 0.75;
    constexpr double bitsPerByte = 8;
    constexpr double millisecondsPerSecond = 1'000;
    // Smallest gain that justifies a change, as a share of the predicted step time: of a change
    // that copies nothing, and for each second of copying. Steps take 0.15 longer while experts are
    // copied, and demand stays for 3 s or more between shifts. With 0.9 for each second, experts that
    // take 0.4 s to copy would be copied only once a shift, and the most loaded rank would have 2.0
    // times the mean load instead of 1.6.
    constexpr double freeChangeGain = 0.03;
    constexpr double gainPerCopySecond = 0.15;
    // The same for a group with headroom: this halves the number of copies (864 instead of 1,721 in 30 s) and lengthens passes from
    // 66 to 70 ms, which makes no more of them late.
    constexpr double minGainIfHeadroom = 0.16;
    // Clean-ups after a takeover that don't wait whether the hold belongs to a change in progress: one
    // without the silent rank, and one with it where the others' states prove nothing. Further ones would
    // only send orders to an engine that does not answer.
    constexpr int immediateCleanUps = 2;
    // Share of the longest gap that the mean of the measured passes may take. An answer is late by its
    // longest gap, and the longest of twenty is a third above the mean; copies lengthen passes by 0.15 more.
    constexpr double measuredPartOfGap = 0.65;
    // The same for the passes with the load that may come before a change takes effect: few answers fall
    // into that time.
    constexpr double grownPartOfGap = 0.9;
    // A plan aims below the tolerated skew by this factor, so that small changes of demand don't call for
    // another one at once.
    constexpr double plannedPartOfTolerated = 0.85;
    // More load than expected takes the group beyond what one change mends if its skew is higher.
    constexpr double usualMaxToleratedSkew = 2;
    // The published time of a step may be too long; at least this share of a measured pass grows with the load.
    constexpr double minLoadPartOfPass = 0.5;
    // The callers that waited for a group to open come back within this time, so its load is not yet known.
    constexpr milliseconds openingTime { 2'000 };
    // As long as the measured pass is smoothed.
    constexpr double measureSmoothingMs = 300;

    // Factor by which a skew lengthens the part of a pass that grows with the load.
    double skewFactor(const engine_costs& costs, double skew)
    {
        return 1 - costs.expertShare + costs.expertShare * skew;
    }

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
    settings.maxToleratedSkew = usualMaxToleratedSkew;
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

void group_monitor::reset(std::uint64_t epoch, instant now)
{
    m_epoch = epoch;
    m_epochSince = now;
    m_measuredPass = milliseconds(0);
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
        reset(observation.view.epoch, now);
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

void group_monitor::recordMeasuredPass(milliseconds pass, instant now)
{
    const double skew = skewNow();
    const double elapsedMs = std::chrono::duration<double, std::milli>(now - m_measuredAt).count();
    const double weight = m_measuredPass > milliseconds(0) ? std::exp(-elapsedMs / measureSmoothingMs) : 0;
    m_measuredSkew = m_measuredSkew * weight + skew * (1 - weight);
    m_measuredActive = m_measuredActive * weight + progress().active * (1 - weight);
    m_measuredPass = pass;
    m_measuredAt = now;
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

// A view that was read from another machine is some hundred ms old. Where a view read on the
// engine's own machine has just shown another incarnation, the old one is from the incarnation before.
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
    m_deferred = false;
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
    planner_limits limits = m_settings.limits;
    const auto tolerated = toleratedSkew(now);
    // A plan that stops at the skew that callers don't notice gains little, but they need it.
    const double minGain = !tolerated && hasHeadroom() ? m_settings.minGainWithHeadroom : m_settings.minGain;
    if (m_currentSkew - limits.targetSkew < minGain * m_currentSkew)
        return leader_task::none;
    if (tolerated) {
        m_deferred = m_currentSkew <= *tolerated;
        limits.targetSkew = std::max(limits.targetSkew, plannedPartOfTolerated * *tolerated);
    }
    if (m_deferred)
        return leader_task::none;
    m_pauseUntil = now + m_settings.planInterval;
    m_planned = planPlacement(*m_current, estimate, pace, limits);
    m_plannedSkew = groupSkew(m_planned, estimate, pace);
    return m_currentSkew - m_plannedSkew > minGain * m_currentSkew ? leader_task::change_placement : leader_task::none;
}

// Load pattern: demand shifts each three seconds, at half of the load that the group can carry.
// The first two changes after a shift bring nearly all that callers notice; three or four more
// only take the last 0.1 off the skew, and copies are expensive.
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

// Load pattern: demand shifts each two seconds, and a copy of an expert is expensive. Whatever the skew,
// callers notice it only once passes near the gap that they accept; the experts copied before that are
// soon not in demand any more. Near the gap a shift makes passes late until the next change ends, and the
// fewer experts were copied before it, the longer they are.
std::optional<double> group_monitor::toleratedSkew(instant now) const
{
    if (m_longestGap <= milliseconds(0) || m_measuredPass <= milliseconds(0) || m_settings.maxToleratedSkew <= 1)
        return std::nullopt;
    if (m_settings.costs.expertShare <= 0 || now - m_epochSince < openingTime || now - m_measuredAt > m_settings.observationTimeout)
        return std::nullopt;
    const auto pass = static_cast<double>(m_measuredPass.count());
    const double ownPart = std::min(slowestPace() * m_settings.costs.stepMs * m_settings.costs.stepsPerPass, (1 - minLoadPartOfPass) * pass);
    const double evenLoadPart = (pass - ownPart) / skewFactor(m_settings.costs, m_measuredSkew);
    const auto gap = static_cast<double>(m_longestGap.count());
    const double factor = std::min(measuredPartOfGap * gap - ownPart, (grownPartOfGap * gap - ownPart) / loadGrowth()) / evenLoadPart;
    const double skew = 1 + (factor - 1) / m_settings.costs.expertShare;
    if (skew < m_settings.minToleratedSkew)
        return std::nullopt;
    return std::min(skew, m_settings.maxToleratedSkew);
}

double group_monitor::loadGrowth() const
{
    double requests = 0;
    for (const auto& [rank, known] : m_ranks)
        requests += known.last.view.active + known.last.view.queued;
    const double slots = m_settings.costs.capacity * static_cast<double>(m_ranks.size());
    return m_measuredActive > 0 ? std::max(1.0, std::min(deferralHeadroom * requests, slots) / m_measuredActive) : deferralHeadroom;
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
        found.steady = found.steady && view.open && view.heldStep == 0;
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

std::uint64_t group_monitor::nextPlacement(std::uint32_t leaderRank, std::uint64_t wallMs) const
{
    return placementNumber(std::max(m_highestPlacement / leadersPerNumber + 1, wallMs), leaderRank);
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
