#include "gateway/groups/group_leader.h"

#include "daemon/scope_exit.h"
#include "daemon/sleep.h"
#include "gateway/groups/placement_codec.h"

namespace rampgap {

namespace {

    // Between two rounds of orders that are not yet confirmed.
    constexpr milliseconds roundPause { 5 };
    // While a step is held the whole group may wait, so an unconfirmed change is cancelled after
    // this. Orders without an answer may still be executed seconds later.
    constexpr milliseconds maxHoldTime { 500 };
    // Added to the time that copying takes by the published costs.
    constexpr milliseconds prepareMargin { 700 };
    // Long enough to try a rank whose agent and engine are both silent once. The clean-up then goes
    // on without it or starts over with what is known by then.
    constexpr milliseconds cleanUpTimeout { 400 };
    // For the round trips to a rank whose mark is waited for.
    constexpr milliseconds readingMargin { 150 };
    // An order that has had no effect for this long is not repeated any more: its engine does not answer, or answers something
    // else than the change expects.
    constexpr milliseconds longestPhase { 2'000 };
    // Between two polls of a small group; entry VMs choose servers by their results.
    constexpr milliseconds minPollInterval { 100 };
    // Between two polls of ranks that are still copying experts though their agents are silent: they
    // are read from their engines, and each such remote read has its price.
    constexpr milliseconds copyPollPause { 50 };
    // Servers of unknown group that are polled per missing rank.
    constexpr std::size_t maxUnknownPerMissingRank = 2;
    // Size of an answer that has only the states of a part of the ranks, without expert counts.
    constexpr std::size_t stateAnswerBytes = 2'048;

    std::uint64_t wallMilliseconds()
    {
        return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
    }

} // namespace

group_leader::group_leader(process_context& context, decision_log& log, fleet_state& state, rank_link& link, group_roster& roster, double linkMbps)
    : m_context(context)
    , m_log(log)
    , m_state(state)
    , m_link(link)
    , m_caller(context, state, link, linkMbps)
    , m_roster(roster)
{
}

void group_leader::configure(const engine_costs& costs, milliseconds longestGap)
{
    m_longestGap = longestGap;
    m_pendingCosts = costs;
    if (!m_changing)
        applyPendingCosts();
    m_monitor->setLongestGap(longestGap);
}

// The orders of a change are for the ranks that the monitor knows: with other costs it would know none until the next poll,
// and a held step would be released by nobody.
void group_leader::applyPendingCosts()
{
    if (!m_pendingCosts)
        return;
    setUp(*m_pendingCosts);
    m_pendingCosts.reset();
    m_monitor->setLongestGap(m_longestGap);
}

void group_leader::setUp(const engine_costs& costs)
{
    if (m_monitor && costs == m_costs)
        return;
    m_costs = costs;
    m_monitor.emplace(monitorSettingsFor(costs));
    m_stepRate = step_rate();
}

std::size_t group_leader::countsBytes() const
{
    return static_cast<std::size_t>(m_costs.layerSets) * static_cast<std::size_t>(m_costs.experts);
}

milliseconds group_leader::pollIntervalFor(std::size_t ranks) const
{
    auto limits = m_caller.limits(countsBytes());
    limits.targets = ranks;
    return planPolls(limits, minPollInterval).pause;
}

poll_plan group_leader::pollPlan() const
{
    return planPolls(m_caller.limits(countsBytes()), minPollInterval);
}

awaitable<void> group_leader::poll(group_members known)
{
    if (!m_monitor)
        co_return;
    m_caller.setCaller(known.ownId, known.group, known.members.size());
    const std::vector<std::string> ids = idsToPoll(std::move(known));
    auto targets = m_caller.targets(ids);
    const instant began = m_context.now();
    const bool wantsCounts = m_polls++ % pollPlan().pollsPerCounts == 0;
    const std::size_t largestAnswer = wantsCounts ? countsBytes() : stateAnswerBytes;
    const auto outcome = co_await m_caller.call(std::move(targets), std::nullopt, wantsCounts, callBudget(m_caller.limits(largestAnswer)));
    const instant now = m_context.now();
    m_context.counters().observe(latency::group_poll, now - began);
    const auto reached = std::count_if(outcome.ranks.begin(), outcome.ranks.end(), [](const rank_outcome& rank) { return rank.reached; });
    m_log.line("ranks_looked_at").add("ranks", ids.size()).add("reached", reached).add("counts", wantsCounts ? "yes" : "no").add("took_ms", now - began);
    observe(outcome, ids, now);
    m_monitor->recordChoices(outcome.expertCounts, now);
    m_stepRate.record(m_monitor->progress(), now);
}

void group_leader::observe(const group_outcome& outcome, const std::vector<std::string>& ids, instant now)
{
    for (const auto& rank : outcome.ranks) {
        if (!rank.after || rank.index >= ids.size())
            continue;
        m_roster.recordGroup(ids[rank.index], rank.after->group, now);
        m_monitor->observe({ ids[rank.index], *rank.after, {} }, now);
    }
}

void group_leader::followGroup(const std::string& group)
{
    if (m_monitor->group() != group)
        m_stepRate = step_rate();
    m_monitor->follow(group);
}

// The group may stand still meanwhile. A call that went through the silent agent would wait for it and
// reach the ranks behind it late, so it is called no more, and this poll leaves out its engine as well.
awaitable<void> group_leader::takeOver(group_members known, const std::string& silent)
{
    if (!m_monitor)
        co_return;
    followGroup(known.group);
    m_monitor->recordTakeover();
    m_caller.setCaller(known.ownId, known.group, known.members.size());
    m_caller.recordSilent(silent);
    std::erase(known.members, silent);
    auto targets = m_caller.targets(known.members);
    const auto outcome = co_await m_caller.call(std::move(targets), std::nullopt, false, callBudget(m_caller.limits(stateAnswerBytes)));
    observe(outcome, known.members, m_context.now());
}

// A rank whose agent is gone reports its group to nobody: while ranks are missing, its engine may be
// among the servers of unknown group.
std::vector<std::string> group_leader::idsToPoll(group_members known) const
{
    std::vector<std::string> ids = std::move(known.members);
    const std::size_t size = m_monitor->groupSize();
    const std::size_t missing = size - std::min(size, ids.size());
    // Only an agent that has just started misses most ranks. It hears of them soon, so it does not ask servers of unknown group.
    if (missing > size / 2)
        return ids;
    const auto unknown = static_cast<std::ptrdiff_t>(std::min(missing * maxUnknownPerMissingRank, known.unknown.size()));
    ids.insert(ids.end(), known.unknown.begin(), known.unknown.begin() + unknown);
    return ids;
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

group_slowdown group_leader::slowdown() const
{
    if (!m_monitor || m_monitor->groupSize() == 0)
        return {};
    return { m_monitor->skewNow(), m_monitor->slowestPace() };
}

std::optional<std::size_t> group_leader::rankOf(const std::string& backendId) const
{
    const auto ids = m_monitor->backendIds();
    const auto found = std::find(ids.begin(), ids.end(), backendId);
    return found == ids.end() ? std::nullopt : std::optional(static_cast<std::size_t>(found - ids.begin()));
}

awaitable<void> group_leader::runNextTask(group_members known)
{
    if (!m_monitor)
        co_return;
    // The group may only be switched here, between two changes: the orders of one change address the
    // ranks of a single group.
    applyPendingCosts();
    followGroup(known.group);
    const std::string ownBackendId = known.ownId;
    // An earlier leader's clock may be ahead of this one's: this agent has passed its orders on.
    m_numbers.recordFence(m_link.highestFence());
    const scope_exit ended(m_context, [this] { m_changing = false; });
    m_changing = true;
    switch (m_monitor->decide(m_context.now())) {
    case leader_task::none:
        break;
    case leader_task::clean_up:
        co_await cleanUp(ownBackendId);
        break;
    case leader_task::query_placement:
        co_await learnPlacement();
        break;
    case leader_task::change_placement:
        co_await changePlacement(ownBackendId);
        break;
    }
}

awaitable<void> group_leader::learnPlacement()
{
    const std::uint64_t inUse = m_monitor->placementInUse();
    if (inUse == 0) {
        m_monitor->setPlacement(0, initialPlacement(static_cast<std::size_t>(m_costs.layerSets), static_cast<std::size_t>(m_costs.experts), m_monitor->groupSize()));
        co_return;
    }
    // This agent has received the whole placement with its own rank's order, unless it was restarted since.
    if (const auto prepared = m_link.prepared(inUse)) {
        m_monitor->setPlacement(inUse, *prepared);
        m_log.line("placement_learned").add("placement", inUse).add("epoch", m_monitor->epoch()).add("source", "own agent");
        co_return;
    }
    const auto ids = m_monitor->backendIds();
    group_placement contents(static_cast<std::size_t>(m_costs.layerSets), std::vector<std::vector<std::uint16_t>>(ids.size()));
    for (std::size_t rank = 0; rank < ids.size(); ++rank) {
        const auto* listed = m_state.backends().find(ids[rank]);
        if (!listed)
            co_return;
        const auto rankExperts = co_await m_link.experts(listed->address);
        if (!rankExperts || rankExperts->placement != inUse || rankExperts->sets.size() != contents.size())
            co_return;
        for (std::size_t set = 0; set < contents.size(); ++set)
            contents[set][rank] = rankExperts->sets[set];
    }
    m_monitor->setPlacement(inUse, std::move(contents));
    m_log.line("placement_learned").add("placement", inUse).add("epoch", m_monitor->epoch()).add("source", "all ranks");
}

awaitable<void> group_leader::changePlacement(const std::string& ownBackendId)
{
    const auto own = rankOf(ownBackendId);
    if (!own)
        co_return;
    const std::size_t ownRank = *own;
    const std::size_t ranks = m_monitor->groupSize();
    const instant began = m_context.now();
    const auto contents = std::make_shared<const group_placement>(m_monitor->planned());
    const std::size_t newExperts = totalNewExperts(*m_monitor->current().contents, *contents);
    m_copyingRanks.clear();
    switch_settings settings;
    settings.fence = m_numbers.nextFence(ownRank, wallMilliseconds());
    settings.stepsAhead = m_timing.stepsAhead(measuredPass());
    const auto placement = m_numbers.nextPlacement(ownRank, m_monitor->highestPlacement(), wallMilliseconds());
    map_switch change(placement, contents, m_monitor->epoch(), ranks, ownRank, settings);
    m_log.line("placement_change_begun").add("placement", change.placement()).add("epoch", m_monitor->epoch()).add("fence", settings.fence).add("slowest_pace", m_monitor->slowestPace()).add("skew", m_monitor->currentSkew()).add("planned_skew", m_monitor->plannedSkew()).add("new_experts", newExperts).add("measured_pass_ms", measuredPass()).add("longest_gap_ms", m_monitor->longestGap()).add("steps_ahead", settings.stepsAhead);
    m_context.counters().add(metric::experts_copied, static_cast<double>(newExperts));
    const milliseconds copies(static_cast<std::int64_t>(std::max(maxCopyMs, expertCopyMs(m_costs))));
    const auto heldSince = co_await executeChange(change, copies + prepareMargin + callBudget(m_caller.limits(packPlacement(*contents).size())));
    const bool done = change.phase() == switch_phase::done;
    if (done)
        m_monitor->recordPlacementChange(change.placement(), *contents);
    else
        m_monitor->recordChangeEnd();
    if (done && heldSince)
        m_timing.recordArming(std::chrono::duration_cast<milliseconds>(m_context.now() - *heldSince));
    logEnd(change, began, "placement_change_ended");
}

// A fence holds the rank of this agent's engine. Until a poll has read that engine, for example right after a takeover, the rank
// is not known; the next poll comes within the poll interval.
awaitable<void> group_leader::cleanUp(const std::string& ownBackendId)
{
    const auto ownRank = rankOf(ownBackendId);
    if (!ownRank)
        co_return;
    const instant began = m_context.now();
    hold_cleanup change(m_monitor->epoch(), m_monitor->groupSize(), m_numbers.nextFence(*ownRank, wallMilliseconds()), m_monitor->unobservedRank(), m_monitor->holds());
    m_log.line("cleanup_begun").add("fence", change.fence()).add("holds", m_monitor->holds().size()).add("armed", m_monitor->armedPlacement()).add("epoch", m_monitor->epoch());
    co_await executeChange(change, cleanUpTimeout);
    const auto contents = change.phase() == switch_phase::done ? m_link.prepared(change.placement()) : nullptr;
    if (contents)
        m_monitor->recordPlacementChange(change.placement(), *contents);
    else
        m_monitor->recordChangeEnd();
    logEnd(change, began, "cleanup_ended");
}

void group_leader::logEnd(const rank_change& change, instant began, std::string_view event)
{
    const bool done = change.phase() == switch_phase::done;
    if (done)
        m_context.counters().add(metric::map_switches);
    m_log.line(event).add("placement", change.placement()).add("step", change.heldStep()).add("took_ms", m_context.now() - began).add("outcome", done ? "done" : "failed").add("reason", change.reason().empty() ? "-" : change.reason());
}

awaitable<std::optional<instant>> group_leader::executeChange(rank_change& change, milliseconds prepareTime)
{
    instant limit = m_context.now() + prepareTime;
    std::optional<instant> heldSince;
    if (change.holding())
        heldSince = m_context.now();
    instant phaseBegan = m_context.now();
    while (!change.ended()) {
        const switch_phase phase = change.phase();
        const instant roundBegan = m_context.now();
        co_await sendRound(change, prepareTime);
        // A hold may be shorter than the time between two polls.
        if (change.holding())
            m_stepRate.discardSample();
        if (!heldSince && change.holding()) {
            heldSince = roundBegan;
            limit = m_context.now() + maxHoldTime;
        }
        // A rank that has answered a claim shows its state soon.
        if (m_context.now() >= limit + (change.awaitsReading() ? m_costs.reportLag + readingMargin : milliseconds(0)))
            change.cancel();
        if (change.phase() != phase) {
            phaseBegan = m_context.now();
            m_log.line("change_phase").add("fence", change.fence()).add("from", toString(phase)).add("phase", toString(change.phase())).add("placement", change.placement()).add("step", change.heldStep()).add("took_ms", phaseBegan - roundBegan);
        }
        abandonIfUseless(change, phaseBegan);
        // Only orders that are sent again need a pause: any other lengthens the hold, and the time in which
        // nobody else can know whether this leader's rank is armed.
        if (change.phase() == phase)
            co_await sleepFor(m_context.io(), roundPause);
    }
    co_return heldSince;
}

// While a step is held, other agents see that it is, and a clean-up with what is known by then does what this change cannot.
void group_leader::abandonIfUseless(rank_change& change, instant phaseBegan) const
{
    if (change.ended())
        return;
    if (m_monitor->epoch() > change.epoch())
        change.abandon("the group has a new epoch");
    else if (change.phase() != switch_phase::preparing && m_context.now() - phaseBegan >= longestPhase)
        change.abandon("the orders have had no effect");
}

awaitable<void> group_leader::sendRound(rank_change& change, milliseconds prepareTime)
{
    auto orders = change.pending();
    if (orders.empty())
        co_return;
    // A call carries orders of one kind, for one step, to many ranks. The group may wait for a hold, so holds come first.
    std::map<std::pair<bool, std::uint64_t>, std::vector<rank_order_to_send>> alike;
    for (auto& next : orders) {
        const bool isHold = next.order.kind == map_order_kind::hold || next.order.kind == map_order_kind::release;
        alike[{ !isHold, next.order.step }].push_back(std::move(next));
    }
    // A rank that is yet to be claimed may stand still, and a direct order would wait for it longer than a call does.
    const bool mayBeSilent = change.phase() == switch_phase::claiming;
    for (auto& [key, same] : alike) {
        // Past the agents, a single rank's hold takes effect sooner.
        if (!key.first && same.size() == 1 && !mayBeSilent)
            co_await sendDirectly(change, std::move(same));
        else
            co_await sendToAll(change, std::move(same), prepareTime);
    }
}

awaitable<void> group_leader::sendDirectly(rank_change& change, std::vector<rank_order_to_send> orders)
{
    const auto ids = m_monitor->backendIds();
    const auto targets = m_caller.targets(ids);
    bool anySent = false;
    for (const auto& next : orders) {
        const auto target = std::find_if(targets.begin(), targets.end(), [&next](const call_target& rank) { return rank.index == next.rank; });
        if (target == targets.end())
            continue;
        anySent = true;
        const auto outcome = co_await m_caller.orderDirectly(*target, next.order);
        recordOutcome(change, next.order, outcome, ids);
    }
    if (!anySent)
        change.cancel();
}

awaitable<void> group_leader::sendToAll(rank_change& change, std::vector<rank_order_to_send> orders, milliseconds prepareTime)
{
    const map_order order = orders.front().order;
    auto targets = targetsFor(orders);
    // This leader does not know any of the ranks, so waiting for them is pointless.
    if (targets.empty()) {
        change.cancel();
        co_return;
    }
    if (order.kind != map_order_kind::prepare) {
        co_await callRanks(change, std::move(orders), order, std::move(targets), callBudget(m_caller.limits(stateAnswerBytes)));
        co_return;
    }
    // The contents are sent once; ranks that have received them are only polled until their copies
    // are complete.
    const auto copying = std::stable_partition(targets.begin(), targets.end(), [this](const call_target& target) { return !m_copyingRanks.contains(target.index); });
    std::vector<call_target> toPoll(copying, targets.end());
    targets.erase(copying, targets.end());
    if (!targets.empty()) {
        co_await callRanks(change, std::move(orders), order, std::move(targets), prepareTime);
        co_return;
    }
    co_await sleepFor(m_context.io(), copyPollPause);
    co_await callRanks(change, std::move(orders), std::nullopt, std::move(toPoll), callBudget(m_caller.limits(stateAnswerBytes)));
}

std::vector<call_target> group_leader::targetsFor(const std::vector<rank_order_to_send>& orders) const
{
    std::vector<call_target> targets;
    for (auto& target : m_caller.targets(m_monitor->backendIds())) {
        const auto order = std::find_if(orders.begin(), orders.end(), [&target](const rank_order_to_send& next) { return next.rank == target.index; });
        if (order == orders.end())
            continue;
        target.placement = order->order.placement;
        targets.push_back(std::move(target));
    }
    return targets;
}

awaitable<void> group_leader::callRanks(rank_change& change, std::vector<rank_order_to_send> orders, std::optional<map_order> sent, std::vector<call_target> targets, milliseconds budget)
{
    const auto ids = m_monitor->backendIds();
    const auto outcome = co_await m_caller.call(std::move(targets), std::move(sent), false, budget);
    for (const auto& rank : outcome.ranks) {
        const auto order = std::find_if(orders.begin(), orders.end(), [&rank](const rank_order_to_send& each) { return each.rank == rank.index; });
        if (order != orders.end())
            recordOutcome(change, order->order, rank, ids);
    }
}

void group_leader::recordOutcome(rank_change& change, const map_order& sent, const rank_outcome& outcome, const std::vector<std::string>& ids)
{
    if (outcome.index >= ids.size())
        return;
    if (outcome.after)
        m_monitor->observe({ ids[outcome.index], *outcome.after, {} }, m_context.now());
    if (sent.kind == map_order_kind::prepare && (outcome.reply == order_reply::accepted || outcome.reply == order_reply::already))
        m_copyingRanks.insert(outcome.index);
    change.handleReply(outcome.index, sent, outcome.reply, outcome.after ? &*outcome.after : nullptr);
}

} // namespace rampgap
