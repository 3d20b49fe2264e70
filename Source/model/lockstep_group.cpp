#include "model/lockstep_group.h"

#include <algorithm>

namespace rampgap::model {

namespace {

    constexpr milliseconds lookPause { 100 };
    // Beyond the copies: looks at the ranks and the orders of a change (0.10 s was measured).
    constexpr milliseconds ordersTime { 100 };
    // Passes take so much longer while experts are copied.
    constexpr double copyFactor = 1.15;
    // Of the tokens, each counted once for each expert that it is sent to.
    constexpr double expertsPerToken = 8;
    constexpr std::size_t queuePlaces = 20;
    constexpr double tokensPerThousand = 1'000;

    monitor_settings settingsOf(const scenario& given, const ways& chosen)
    {
        monitor_settings settings = monitorSettingsFor(given.costs);
        settings.minGain = chosen.minGain;
        settings.minGainWithHeadroom = std::max(chosen.minGain, chosen.minGainWithHeadroom);
        return settings;
    }

} // namespace

lockstep_group::lockstep_group(event_queue& events, const scenario& given, const ways& chosen, std::string service, std::size_t index, std::uint64_t seed, sequence_listener& listener)
    : m_events(events)
    , m_scenario(given)
    , m_key { std::move(service), "g" + std::to_string(index) }
    , m_listener(listener)
    , m_ranks(given.ranksPerGroup)
    , m_paces(given.ranksPerGroup, 1.0)
    , m_demand(static_cast<std::size_t>(given.costs.layerSets), static_cast<std::size_t>(given.costs.experts), given.expertSkew, seed)
    , m_monitor(settingsOf(given, chosen))
    , m_placement(initialPlacement(static_cast<std::size_t>(given.costs.layerSets), static_cast<std::size_t>(given.costs.experts), given.ranksPerGroup))
{
    m_monitor.setLongestGap(given.gapTarget);
    m_skew = groupSkew(m_placement, m_demand.shares(), rank_paces(m_ranks.size(), 1.0));
}

void lockstep_group::start()
{
    look();
}

bool lockstep_group::submit(std::size_t index, sequence given)
{
    rank& at = m_ranks[index];
    if (!m_open || at.queued.size() >= queuePlaces)
        return false;
    at.queued.push_back(given);
    beginPass();
    return true;
}

void lockstep_group::cancel(std::size_t index, sequence_id id)
{
    const auto isIt = [id](const sequence& each) { return each.id == id; };
    std::erase_if(m_ranks[index].active, isIt);
    std::erase_if(m_ranks[index].queued, isIt);
}

// The slowest rank's own part, and set by set that of the most loaded rank.
double lockstep_group::passMs() const
{
    const engine_costs& costs = m_scenario.costs;
    const double context = (costs.usualPromptTokens + costs.usualAnswerTokens / 2) / tokensPerThousand;
    const double step = costs.perSequenceMs + costs.contextMsPerThousand * context;
    double slowest = 0;
    double sum = 0;
    for (std::size_t i = 0; i < m_ranks.size(); ++i) {
        double forTokens = 0;
        for (const auto& each : m_ranks[i].active)
            forTokens += each.promptRead ? step * costs.stepsPerPass : each.promptTokens / costs.prefillTokensPerMs;
        slowest = std::max(slowest, m_paces[i] * (costs.stepMs * costs.stepsPerPass + (1 - costs.expertShare) * forTokens));
        sum += forTokens;
    }
    const double pass = slowest + m_skew * costs.expertShare * sum / static_cast<double>(m_ranks.size());
    return m_changing ? pass * copyFactor : pass;
}

void lockstep_group::beginPass()
{
    if (m_passing || !m_open)
        return;
    bool any = false;
    for (auto& each : m_ranks) {
        while (!each.queued.empty() && each.active.size() < static_cast<std::size_t>(m_scenario.costs.capacity)) {
            each.active.push_back(each.queued.front());
            each.queued.pop_front();
        }
        any = any || !each.active.empty();
    }
    if (!any)
        return;
    m_passing = true;
    ++m_passes;
    m_skewSum += m_skew;
    const instant begin = std::max(m_events.now(), m_heldUntil);
    const auto length = std::chrono::duration_cast<duration>(std::chrono::duration<double, std::milli>(passMs()));
    m_events.at(begin + length, [this, life = m_life] { endPass(life); });
}

void lockstep_group::endPass(std::uint64_t life)
{
    if (life != m_life)
        return;
    m_passing = false;
    std::vector<std::pair<sequence_id, bool>> told;
    for (auto& each : m_ranks) {
        for (auto& running : each.active) {
            // One pass reads the prompt, the next one writes the first event.
            if (!std::exchange(running.promptRead, true)) {
                m_tokensSinceLook += running.promptTokens;
                continue;
            }
            m_tokensSinceLook += m_scenario.costs.stepsPerPass;
            --running.eventsLeft;
            if (!running.lost)
                told.emplace_back(running.id, running.eventsLeft == 0);
        }
        std::erase_if(each.active, [](const sequence& running) { return running.eventsLeft <= 0; });
    }
    // Whoever is told may submit or cancel others.
    for (const auto& [id, last] : told)
        m_listener.onEvent(id, last);
    beginPass();
}

void lockstep_group::close(milliseconds length)
{
    if (!m_open)
        return;
    m_open = false;
    m_passing = false;
    ++m_life;
    std::vector<sequence_id> stalled;
    for (auto& each : m_ranks) {
        for (const auto& running : each.active)
            stalled.push_back(running.id);
        for (const auto& waiting : each.queued)
            stalled.push_back(waiting.id);
        each.active.clear();
        each.queued.clear();
    }
    m_events.after(m_scenario.stall, [this, stalled] {
        for (const auto id : stalled)
            m_listener.onCut(id);
    });
    m_events.after(length + m_scenario.formTime, [this] { reopen(); });
    report();
}

void lockstep_group::reopen()
{
    m_open = true;
    ++m_epoch;
    m_changing = false;
    m_placement = initialPlacement(m_placement.size(), static_cast<std::size_t>(m_scenario.costs.experts), m_ranks.size());
    m_placementNumber = 0;
    m_skew = groupSkew(m_placement, m_demand.shares(), rank_paces(m_ranks.size(), 1.0));
    report();
}

void lockstep_group::hold(milliseconds length)
{
    m_heldUntil = m_events.now() + length;
}

void lockstep_group::shiftDemand(double share)
{
    m_demand.shift(share);
    m_skew = groupSkew(m_placement, m_demand.shares(), rank_paces(m_ranks.size(), 1.0));
}

std::vector<std::uint64_t> lockstep_group::takeChoices()
{
    std::vector<std::uint64_t> choices;
    for (const auto& set : m_demand.shares()) {
        for (const double share : set)
            choices.push_back(static_cast<std::uint64_t>(share * m_tokensSinceLook * expertsPerToken));
    }
    m_tokensSinceLook = 0;
    return choices;
}

void lockstep_group::look()
{
    for (std::size_t i = 0; i < m_ranks.size(); ++i) {
        rank_view view;
        view.group = m_key.group;
        view.epoch = m_epoch;
        view.rank = static_cast<std::uint32_t>(i);
        view.open = m_open;
        view.groupSize = static_cast<std::uint32_t>(m_ranks.size());
        view.placementInUse = m_placementNumber;
        view.queued = static_cast<int>(m_ranks[i].queued.size());
        view.active = static_cast<int>(m_ranks[i].active.size());
        view.pace = m_paces[i];
        m_monitor.observe({ backendId(i), view, {} }, m_events.now());
    }
    m_monitor.recordChoices(takeChoices(), m_events.now());
    if (m_open && !m_changing)
        decide();
    report();
    m_events.after(lookPause, [this] { look(); });
}

void lockstep_group::decide()
{
    switch (m_monitor.decide(m_events.now())) {
    case leader_task::query_placement:
        m_monitor.setPlacement(m_placementNumber, m_placement);
        break;
    case leader_task::change_placement:
        beginChange();
        break;
    default:
        break;
    }
}

milliseconds lockstep_group::changeTime() const
{
    const double copies = expertCopyMs(m_scenario.costs) * static_cast<double>(maxNewExperts(m_placement, m_monitor.planned()));
    return ordersTime + milliseconds(static_cast<std::int64_t>(copies));
}

void lockstep_group::beginChange()
{
    m_changing = true;
    ++m_changes;
    m_copies += static_cast<int>(totalNewExperts(m_placement, m_monitor.planned()));
    m_events.after(changeTime(), [this, life = m_life] { endChange(life); });
}

void lockstep_group::endChange(std::uint64_t life)
{
    if (life != m_life)
        return;
    m_changing = false;
    m_placement = m_monitor.planned();
    m_placementNumber = ++m_numbers;
    m_monitor.recordPlacementChange(m_placementNumber, m_placement);
    m_skew = groupSkew(m_placement, m_demand.shares(), rank_paces(m_ranks.size(), 1.0));
}

void lockstep_group::report()
{
    group_report told { m_key, { m_epoch, m_open }, { m_monitor.skewNow(), m_monitor.slowestPace() }, {} };
    for (std::size_t i = 0; i < m_ranks.size() && m_open; ++i)
        told.loads[backendHash(backendId(i))] = { static_cast<int>(m_ranks[i].active.size() + m_ranks[i].queued.size()), 0, m_paces[i] };
    if (m_onReport)
        m_onReport(std::move(told));
}

} // namespace rampgap::model
