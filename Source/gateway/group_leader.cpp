#include "gateway/group_leader.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // Between two rounds of orders that were not confirmed.
    constexpr milliseconds roundPause { 5 };
    // While a step may be held the whole group may wait: then a change that is not confirmed
    // is given up after this. Orders that get no answer are carried out seconds later.
    constexpr milliseconds longestHold { 500 };
    // Beyond the time that the copies take by the published figures.
    constexpr milliseconds prepareMargin { 700 };
    // A rank whose agent and engine are silent has been asked once after this. A clean-up then
    // goes on without it or is begun anew with what is known then.
    constexpr milliseconds longestClaim { 400 };
    constexpr double bitsPerByte = 8;
    constexpr double millisecondsPerSecond = 1'000;
    // A rank whose agent is silent is asked directly, which pauses nothing but has its price.
    constexpr milliseconds directLookInterval { 400 };
    // How long the copies of one change may take, one expert a rank at the least: small changes
    // relieve the most loaded rank soonest, and the next change brings the rest.
    constexpr double longestCopyMs = 200;
    // Least gain of a change, as a share of the predicted step time: one that costs nothing,
    // and for each second of a copy. Steps take 0.15 longer while experts are copied, and
    // demand was recorded to stay for 3 s and more; with 0.9 a second, experts that take 0.4 s
    // to copy were copied once a shift, and the most loaded rank had 1.99 times the mean in
    // place of 1.61 (replayed counts of four recorded days).
    constexpr double freeChangeGain = 0.03;
    constexpr double gainPerCopySecond = 0.15;

    std::uint64_t wallMilliseconds()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

    // Counts the orders of a round that are not answered yet.
    struct round_state {
        explicit round_state(asio::io_context& io, std::size_t orders)
            : left(orders)
            , done(io, asio::steady_timer::time_point::max())
        {
        }

        std::size_t left;
        asio::steady_timer done;
    };

} // namespace

group_leader::group_leader(process_context& context, decision_log& log, fleet_state& state, rank_link& link, group_roster& roster)
    : m_context(context)
    , m_log(log)
    , m_state(state)
    , m_link(link)
    , m_roster(roster)
{
}

void group_leader::configure(const engine_costs& costs)
{
    if (m_monitor && costs == m_costs)
        return;
    m_costs = costs;
    monitor_settings settings;
    settings.demand.layerSets = static_cast<std::size_t>(costs.layerSets);
    settings.demand.experts = static_cast<std::size_t>(costs.experts);
    settings.limits.slotsPerRank = static_cast<std::size_t>(costs.slotsPerRank);
    settings.limits.newPerSet = static_cast<std::size_t>(costs.newExpertsPerPrepare);
    settings.limits.newPerRank = std::max<std::size_t>(1, static_cast<std::size_t>(longestCopyMs / copyMs()));
    const double changeCopyMs = copyMs() * static_cast<double>(settings.limits.newPerRank);
    settings.leastGain = freeChangeGain + gainPerCopySecond * changeCopyMs / millisecondsPerSecond;
    m_monitor.emplace(settings);
}

double group_leader::copyMs() const
{
    return std::max(1.0, m_costs.expertMb * bitsPerByte * millisecondsPerSecond / std::max(1.0, m_costs.linkMbps));
}

void group_leader::observe(const rank_observation& seen)
{
    if (m_monitor)
        m_monitor->observe(seen, m_context.now());
}

load_report_by_hash group_leader::rankLoads() const
{
    load_report_by_hash loads;
    if (!m_monitor)
        return loads;
    const auto ids = m_monitor->backendIds();
    for (std::uint32_t rank = 0; rank < ids.size(); ++rank) {
        const auto view = m_monitor->view(rank);
        if (view && view->open)
            loads[backendHash(ids[rank])] = { view->active + view->queued, 0, std::max(1.0, view->pace) };
    }
    return loads;
}

group_strain group_leader::strain() const
{
    if (!m_monitor || m_monitor->groupSize() == 0)
        return {};
    return { m_monitor->skewNow(), m_monitor->slowestPace() };
}

// Higher with each change here, and higher than that of an earlier leader unless the time
// of day was put back; then its engines say so.
std::uint64_t group_leader::nextFence()
{
    m_lastFence = std::max(m_lastFence + 2, wallMilliseconds());
    return m_lastFence;
}

awaitable<void> group_leader::work(group_members known)
{
    if (!m_monitor)
        co_return;
    // Only here, between two changes: their orders go by the ranks of one group.
    m_monitor->follow(known.group);
    const std::string ownBackendId = known.ownId;
    // A hold that is seen is urgent, and a look at a machine that stands still takes its time.
    if (m_monitor->holds().empty())
        co_await lookAtMissing(std::move(known));
    switch (m_monitor->decide(m_context.now())) {
    case leader_task::none:
        break;
    case leader_task::clean_up:
        co_await cleanUp();
        break;
    case leader_task::learn_placement:
        co_await learnPlacement();
        break;
    case leader_task::change_placement:
        co_await changePlacement(ownBackendId);
        break;
    }
}

awaitable<void> group_leader::lookAtMissing(group_members known)
{
    const instant now = m_context.now();
    if (now - m_lastDirectLook < directLookInterval)
        co_return;
    m_lastDirectLook = now;
    // A rank whose agent is gone tells nobody its group: while ranks are wanting, its engine
    // may be one of those that nobody knows.
    auto candidates = known.members;
    if (candidates.size() < m_monitor->groupSize())
        candidates.insert(candidates.end(), known.unknown.begin(), known.unknown.end());
    const auto missing = m_monitor->unobserved(candidates, now);
    // Most members missing: this agent hears nobody, or has just started to lead.
    if (missing.size() > m_monitor->groupSize() / 2)
        co_return;
    for (const auto& id : missing) {
        const auto* listed = m_state.backends().find(id);
        if (!listed)
            continue;
        const auto seen = co_await m_link.view(*listed);
        if (!seen)
            continue;
        m_roster.note(id, seen->group, m_context.now());
        m_monitor->observe({ id, *seen, {} }, m_context.now());
    }
}

awaitable<void> group_leader::learnPlacement()
{
    const std::uint64_t inUse = m_monitor->placementInUse();
    if (inUse == 0) {
        m_monitor->learn(0, initialPlacement(static_cast<std::size_t>(m_costs.layerSets), static_cast<std::size_t>(m_costs.experts), m_monitor->groupSize()));
        co_return;
    }
    const auto ids = m_monitor->backendIds();
    group_placement contents(static_cast<std::size_t>(m_costs.layerSets), std::vector<std::vector<std::uint16_t>>(ids.size()));
    for (std::size_t rank = 0; rank < ids.size(); ++rank) {
        const auto* listed = m_state.backends().find(ids[rank]);
        if (!listed)
            co_return;
        const auto held = co_await m_link.experts(*listed);
        if (!held || held->placement != inUse || held->sets.size() != contents.size())
            co_return;
        for (std::size_t set = 0; set < contents.size(); ++set)
            contents[set][rank] = held->sets[set];
    }
    m_monitor->learn(inUse, std::move(contents));
    m_log.line("placement_learned").add("placement", inUse).add("epoch", m_monitor->epoch());
}

awaitable<void> group_leader::changePlacement(const std::string& ownBackendId)
{
    const auto ids = m_monitor->backendIds();
    const auto own = std::find(ids.begin(), ids.end(), ownBackendId);
    if (own == ids.end())
        co_return;
    const instant began = m_context.now();
    const auto contents = std::make_shared<const group_placement>(m_monitor->planned());
    switch_settings settings;
    settings.fence = nextFence();
    const auto ownRank = static_cast<std::size_t>(own - ids.begin());
    const auto placement = m_monitor->nextPlacement(static_cast<std::uint32_t>(ownRank), wallMilliseconds());
    map_switch change(placement, contents, m_monitor->epoch(), ids.size(), ownRank, settings);
    m_log.line("placement_change_begun").add("placement", change.placement()).add("epoch", m_monitor->epoch()).add("fence", settings.fence).add("slowest_pace", m_monitor->slowestPace()).add("skew", m_monitor->currentSkew()).add("planned_skew", m_monitor->plannedSkew());
    co_await carryOut(change, milliseconds(static_cast<std::int64_t>(std::max(longestCopyMs, copyMs()))) + prepareMargin);
    if (change.phase() == switch_phase::done)
        m_monitor->noteChanged(change.placement(), *contents);
    else
        m_monitor->noteEnded();
    logEnd(change, began, "placement_change_ended");
}

awaitable<void> group_leader::cleanUp()
{
    const instant began = m_context.now();
    auto change = map_switch::cleanUp(m_monitor->epoch(), m_monitor->groupSize(), nextFence());
    m_log.line("cleanup_begun").add("holds", m_monitor->holds().size()).add("armed", m_monitor->armedPlacement()).add("epoch", m_monitor->epoch());
    co_await carryOut(change, longestClaim);
    m_monitor->noteEnded();
    logEnd(change, began, "cleanup_ended");
}

void group_leader::logEnd(const map_switch& change, instant began, std::string_view what)
{
    const bool done = change.phase() == switch_phase::done;
    if (done)
        m_context.counters().add(metric::map_switches);
    m_log.line(what).add("placement", change.placement()).add("step", change.heldStep()).add("took_ms", m_context.now() - began).add("outcome", done ? "done" : "failed").add("reason", change.reason().empty() ? "-" : change.reason());
}

awaitable<void> group_leader::carryOut(map_switch& change, milliseconds prepareTime)
{
    instant limit = m_context.now() + prepareTime;
    bool holding = change.holding();
    while (!change.ended()) {
        co_await sendRound(change, prepareTime);
        if (!holding && change.holding()) {
            holding = true;
            limit = m_context.now() + longestHold;
        }
        if (m_context.now() >= limit)
            change.cancel();
        asio::steady_timer timer(m_context.io(), roundPause);
        co_await timer.async_wait(asTuple);
    }
}

awaitable<void> group_leader::sendRound(map_switch& change, milliseconds prepareTime)
{
    const auto orders = change.pending();
    const auto ids = m_monitor->backendIds();
    auto round = std::make_shared<round_state>(m_context.io(), orders.size());
    bool anySent = false;
    for (const auto& next : orders) {
        const auto* listed = next.rank < ids.size() ? m_state.backends().find(ids[next.rank]) : nullptr;
        if (!listed) {
            --round->left;
            continue;
        }
        anySent = true;
        const milliseconds wait = next.order.kind == map_order_kind::prepare ? prepareTime : milliseconds(0);
        asio::co_spawn(
            m_context.io(), [this, &change, round, next, backend = *listed, wait]() -> awaitable<void> {
                const numbered_placement base = m_monitor->current();
                const auto outcome = co_await m_link.order(backend, next.order, wait, base);
                if (outcome.after)
                    m_monitor->observe({ backend.id, *outcome.after, {} }, m_context.now());
                change.note(next.rank, next.order.kind, outcome.reply, outcome.after ? &*outcome.after : nullptr);
                --round->left;
                round->done.cancel();
            },
            asio::detached);
    }
    // Ranks that this leader has never heard of: to wait for them is in vain.
    if (!anySent)
        change.cancel();
    while (round->left > 0)
        co_await round->done.async_wait(asTuple);
}

} // namespace rampgap
