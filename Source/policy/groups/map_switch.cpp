#include "policy/groups/map_switch.h"

#include "policy/groups/placement_number.h"

#include <algorithm>
#include <array>

namespace rampgap {

namespace {

    // A placement number that is never used: real ones are far higher, and 0 is the placement that a
    // group opens with.
    constexpr std::uint64_t neverPrepared = 1;
    constexpr std::array<std::string_view, 11> phaseNames { "claiming", "securing", "preparing", "holding", "arming", "arming_own", "releasing", "disarming_leader", "disarming", "releasing_aborted", "done" };

    // The rank has carried out the order, or it had nothing to do.
    bool isDone(order_reply reply)
    {
        return reply == order_reply::accepted || reply == order_reply::already;
    }

    bool isRefused(order_reply reply)
    {
        return reply == order_reply::conflict || reply == order_reply::refused;
    }

    bool isMark(std::uint64_t step)
    {
        return step >= firstMarkStep;
    }

    // The newest placement that the rank may be armed with.
    std::uint64_t claimablePlacement(const rank_view& view)
    {
        return view.armedPlacement == 0 ? view.preparedPlacement : view.armedPlacement;
    }

    // The rank that holds the step. It is not the leader's: if the leader's machine stalls, its engine
    // could not be told to release the step.
    std::size_t holderFor(std::size_t leaderRank, std::size_t ranks)
    {
        return ranks == 0 ? 0 : (leaderRank + 1) % ranks;
    }

    // The rank whose leader holds steps at this rank.
    std::size_t leaderFor(std::size_t holder, std::size_t ranks)
    {
        return (holder + ranks - 1) % ranks;
    }

} // namespace

std::string_view toString(switch_phase phase)
{
    const auto index = static_cast<std::size_t>(phase);
    return index < phaseNames.size() ? phaseNames[index] : "failed";
}

map_switch::map_switch(std::uint64_t placement, std::shared_ptr<const group_placement> contents, std::uint64_t epoch, std::size_t ranks, std::size_t ownRank, switch_settings settings)
    : m_placement(placement)
    , m_contents(std::move(contents))
    , m_epoch(epoch)
    , m_ownRank(ownRank)
    , m_holder(holderFor(ownRank, ranks))
    , m_found(ranks)
    , m_settings(settings)
    , m_confirmed(ranks, false)
    , m_armed(ranks, placement)
{
}

map_switch map_switch::cleanUp(std::uint64_t epoch, std::size_t ranks, std::uint64_t fence, std::optional<std::size_t> silentRank, const std::vector<rank_hold>& seenHolds)
{
    map_switch made(0, nullptr, epoch, ranks, 0, { 0, fence });
    made.m_isCleanUp = true;
    made.m_silentRank = silentRank;
    made.m_reason = "left by an earlier leader";
    for (const auto& [rank, step] : seenHolds) {
        if (rank < ranks)
            made.m_found[rank].heldStep = step;
    }
    made.enter(switch_phase::claiming);
    return made;
}

void map_switch::enter(switch_phase phase)
{
    m_phase = phase;
    std::fill(m_confirmed.begin(), m_confirmed.end(), false);
    if (m_skippedRank)
        m_confirmed[*m_skippedRank] = true;
}

void map_switch::fail(std::string reason)
{
    m_reason = std::move(reason);
    m_phase = switch_phase::failed;
}

bool map_switch::allConfirmed() const
{
    return std::all_of(m_confirmed.begin(), m_confirmed.end(), [](bool confirmed) { return confirmed; });
}

map_order map_switch::orderOf(map_order_kind kind, std::uint64_t placement, std::uint64_t step) const
{
    map_order order;
    order.kind = kind;
    order.placement = placement;
    order.step = step;
    order.epoch = m_epoch;
    order.fence = m_settings.fence;
    return order;
}

std::vector<rank_order_to_send> map_switch::toUnconfirmed(const map_order& order) const
{
    std::vector<rank_order_to_send> orders;
    for (std::size_t rank = 0; rank < m_confirmed.size(); ++rank) {
        if (!m_confirmed[rank])
            orders.push_back({ rank, order });
    }
    return orders;
}

std::vector<rank_order_to_send> map_switch::pending() const
{
    std::vector<rank_order_to_send> orders;
    switch (m_phase) {
    case switch_phase::claiming:
        // Disarming a placement that was never prepared changes nothing but the fence.
        orders = toUnconfirmed(orderOf(map_order_kind::disarm, neverPrepared, 0));
        std::erase_if(orders, [this](const rank_order_to_send& next) { return next.rank == m_silentRank; });
        for (auto& next : orders) {
            const found_rank& found = m_found[next.rank];
            if (found.heldStep != 0 && !isMark(found.heldStep) && !found.holdRefused)
                next.order = orderOf(map_order_kind::hold, 0, found.heldStep);
        }
        return orders;
    case switch_phase::preparing: {
        map_order order = orderOf(map_order_kind::prepare, m_placement, 0);
        order.contents = m_contents;
        return toUnconfirmed(order);
    }
    case switch_phase::holding:
        return { { m_holder, orderOf(map_order_kind::hold, 0, m_step) } };
    case switch_phase::securing:
        return pendingSecures();
    case switch_phase::arming:
        return m_isCleanUp ? pendingRearms() : toUnconfirmed(orderOf(map_order_kind::arm, m_placement, m_step));
    case switch_phase::arming_own:
        return { { m_ownRank, orderOf(map_order_kind::arm, m_placement, m_step) } };
    case switch_phase::disarming_leader:
        return { { m_ownRank, orderOf(map_order_kind::disarm, m_armed[m_ownRank], 0) } };
    case switch_phase::disarming:
        orders = toUnconfirmed(orderOf(map_order_kind::disarm, 0, 0));
        for (auto& next : orders)
            next.order.placement = m_armed[next.rank];
        return orders;
    case switch_phase::releasing:
    case switch_phase::releasing_aborted:
        return pendingReleases();
    case switch_phase::done:
    case switch_phase::failed:
        break;
    }
    return orders;
}

// An answer without any state after it counts for nothing: it may be the second copy of an earlier one, after which the reading of
// the state finds the answer to the order, and is none.
void map_switch::handleReply(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    // A new epoch starts with placement 0 and nothing prepared, armed or held.
    if (after && after->epoch > m_epoch) {
        fail("the group has a new epoch");
        return;
    }
    // No state of this group: the answer to something else.
    if (after && after->epoch != m_epoch)
        after = nullptr;
    if (after)
        noteReading(rank, *after);
    if (reply == order_reply::fenced) {
        // Another leader has taken over and cleans up after this one.
        fail("another leader has a higher fence");
        return;
    }
    // The answer to an earlier order, for example of the phase before.
    if (sent.fence != m_settings.fence)
        return;
    const map_order_kind kind = sent.kind;
    if (m_phase == switch_phase::claiming && (kind == map_order_kind::disarm || kind == map_order_kind::hold))
        handleClaimed(rank, sent, reply, after);
    else if (m_phase == switch_phase::securing && kind == map_order_kind::hold)
        handleSecured(rank, sent, reply, after);
    else if (m_phase == switch_phase::securing && kind == map_order_kind::release)
        handleMarkReleased(rank, sent, reply, after);
    else if (kind == map_order_kind::prepare && m_phase == switch_phase::preparing)
        handlePrepared(rank, reply, after);
    else if (kind == map_order_kind::hold && m_phase == switch_phase::holding)
        handleHeld(reply, after);
    else if (kind == map_order_kind::arm && (m_phase == switch_phase::arming || m_phase == switch_phase::arming_own))
        handleArmed(rank, sent, reply, after);
    else if (kind == map_order_kind::disarm && (m_phase == switch_phase::disarming_leader || m_phase == switch_phase::disarming))
        handleDisarmed(rank, sent, reply, after);
    else if (kind == map_order_kind::release && (m_phase == switch_phase::releasing || m_phase == switch_phase::releasing_aborted))
        handleReleased(rank, sent, reply, after);
}

void map_switch::noteReading(std::size_t rank, const rank_view& view)
{
    m_newestStep = std::max(m_newestStep, view.step);
    found_rank& found = m_found[rank];
    // Placements are prepared in increasing order only.
    found.placement = std::max(found.placement, claimablePlacement(view));
    found.placementInUse = std::max(found.placementInUse, view.placementInUse);
    found.unarmed = view.armedPlacement == 0;
    if (view.heldStep != 0)
        found.heldStep = view.heldStep;
}

// The answer raises the rank's fence: from now on it refuses the orders of earlier leaders, those in its buffers, too.
// Where a hold is known it is claimed and secured with one order.
void map_switch::handleClaimed(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    if (sent.kind == map_order_kind::hold && isRefused(reply))
        m_found[rank].holdRefused = true;
    if (!isDone(reply) || !after)
        return;
    if (sent.kind == map_order_kind::hold)
        m_found[rank].securedStep = sent.step;
    m_confirmed[rank] = true;
    if (allConfirmed()) {
        endClaim();
        return;
    }
    const auto unclaimed = std::count(m_confirmed.begin(), m_confirmed.end(), false);
    if (m_silentRank && unclaimed == 1 && !m_confirmed[*m_silentRank] && !skipUnclaimed())
        m_silentRank.reset();
}

void map_switch::endClaim()
{
    // What is left here are marks of this clean-up.
    std::erase_if(m_holds, [](const auto& hold) { return !isMark(hold.second); });
    for (std::size_t rank = 0; rank < m_found.size(); ++rank) {
        if (m_found[rank].heldStep != 0)
            addHold(rank, m_found[rank].heldStep);
    }
    if (m_holds.empty()) {
        fail("no step is held");
        return;
    }
    m_holdPossible = true;
    enter(switch_phase::securing);
    // Marks of an earlier clean-up hold nothing up; they are only released.
    std::fill(m_confirmed.begin(), m_confirmed.end(), true);
    for (const auto& [rank, step] : m_holds) {
        if (!isMark(step))
            m_confirmed[rank] = m_found[rank].securedStep == step;
    }
    endSecuring();
}

void map_switch::addHold(std::size_t rank, std::uint64_t step)
{
    const rank_hold hold(rank, step);
    if (std::find(m_holds.begin(), m_holds.end(), hold) == m_holds.end())
        m_holds.push_back(hold);
}

// A rank holds one step at a time: a mark that an earlier clean-up has left is released before the rank is marked.
std::vector<rank_order_to_send> map_switch::pendingSecures() const
{
    std::vector<rank_order_to_send> orders;
    std::vector<bool> marked(m_found.size(), false);
    for (const auto& [rank, step] : m_holds) {
        if (m_confirmed[rank] || !isMark(step) || step == markStep())
            continue;
        marked[rank] = true;
        orders.push_back({ rank, orderOf(map_order_kind::release, 0, step) });
    }
    for (const auto& [rank, step] : m_holds) {
        if (!m_confirmed[rank] && !marked[rank])
            orders.push_back({ rank, orderOf(map_order_kind::hold, 0, step) });
    }
    return orders;
}

void map_switch::handleMarkReleased(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    if (isDone(reply) && after)
        std::erase(m_holds, rank_hold(rank, sent.step));
}

// A hold that a reading shows may have been released since by the order of an earlier leader: the step could begin while the ranks
// are armed or disarmed one by one. The answer to the same hold under the new fence makes it certain.
void map_switch::handleSecured(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    const auto hold = std::find(m_holds.begin(), m_holds.end(), std::pair(rank, sent.step));
    if (hold == m_holds.end() || m_confirmed[rank])
        return;
    if (isMark(sent.step)) {
        handleMarked(rank, reply, after);
        return;
    }
    // For what is decided from here on by the state of the holding rank, a reading from since the hold is needed.
    if (isDone(reply) && after)
        m_confirmed[rank] = !m_marked || m_skippedRank || after->heldStep == sent.step;
    else if (isRefused(reply) && m_skippedRank) {
        claimSkipped();
        return;
    } else if (isRefused(reply)) {
        m_holds.erase(hold);
        if (m_marked)
            addHold(rank, markStep());
    }
    endSecuring();
}

void map_switch::endSecuring()
{
    const bool secured = std::all_of(m_holds.begin(), m_holds.end(), [this](const auto& hold) { return m_confirmed[hold.first]; });
    if (!secured)
        return;
    if (m_skippedRank) {
        if (skipIsProved())
            undo();
        else
            claimSkipped();
        return;
    }
    const auto first = std::min_element(m_holds.begin(), m_holds.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    if (first == m_holds.end() || isMark(first->second)) {
        m_reason = "the step is not held any more";
        enterRelease(switch_phase::releasing_aborted);
        return;
    }
    if (first->second > m_newestStep + 1) {
        holdNextStep();
        return;
    }
    m_step = first->second;
    m_ownRank = leaderFor(first->first, m_found.size());
    if (allPreparedTheSame()) {
        m_placement = m_found.front().placement;
        enter(switch_phase::arming);
    } else if (!m_marked)
        mark();
    else {
        m_reason = "the ranks have prepared different placements, or none";
        undo();
    }
}

bool map_switch::allPreparedTheSame() const
{
    return !m_armingRefused && std::all_of(m_found.begin(), m_found.end(), [this](const found_rank& found) { return found.isPending() && found.placement == m_found.front().placement; });
}

// Marks all ranks but those that hold a step and the skipped one, so that their states are known for certain.
void map_switch::mark()
{
    m_marked = true;
    for (std::size_t rank = 0; rank < m_found.size(); ++rank) {
        if (rank == m_skippedRank)
            continue;
        if (!holdsStep(rank))
            addHold(rank, markStep());
        if (!m_skippedRank || !holdsStep(rank))
            m_confirmed[rank] = false;
    }
}

bool map_switch::holdsStep(std::size_t rank) const
{
    return std::any_of(m_holds.begin(), m_holds.end(), [rank](const auto& hold) { return hold.first == rank && !isMark(hold.second); });
}

// Disarms each rank that may be armed. A rank that holds a step is not marked, so that what is known of it may be old: it is armed
// first with the newest placement that it may have prepared, and the answer proves what it is armed with.
void map_switch::undo()
{
    std::uint64_t newest = neverPrepared;
    for (std::size_t rank = 0; rank < m_found.size(); ++rank) {
        m_armed[rank] = m_found[rank].isPending() ? m_found[rank].placement : neverPrepared;
        newest = std::max(newest, m_armed[rank]);
    }
    if (m_skippedRank) {
        m_armed[*m_skippedRank] = neverPrepared;
        enterDisarming();
        return;
    }
    m_undoing = true;
    enter(switch_phase::arming);
    for (std::size_t rank = 0; rank < m_found.size(); ++rank) {
        if (holdsStep(rank) && m_armed[rank] == neverPrepared)
            m_armed[rank] = newest;
        m_confirmed[rank] = !holdsStep(rank) || m_armed[rank] == neverPrepared;
    }
    if (allConfirmed())
        enterDisarming();
}

void map_switch::enterDisarming()
{
    // The orders to arm that are still on their way are refused from here on.
    raiseFence();
    const bool leaderFirst = !m_skippedRank && m_armed[m_ownRank] != neverPrepared;
    enter(leaderFirst ? switch_phase::disarming_leader : switch_phase::disarming);
    for (std::size_t rank = 0; rank < m_armed.size(); ++rank) {
        if (m_armed[rank] == neverPrepared)
            m_confirmed[rank] = true;
    }
    if (allConfirmed())
        enterRelease(switch_phase::releasing_aborted);
}

void map_switch::raiseFence()
{
    if (!m_fenceRaised)
        ++m_settings.fence;
    m_fenceRaised = true;
}

// A second copy of an order to hold a step may be carried out late, after its release: it is refused where the release has a
// higher fence.
void map_switch::enterRelease(switch_phase phase)
{
    raiseFence();
    enter(phase);
    if (phase == switch_phase::releasing_aborted && m_holds.empty())
        m_phase = switch_phase::failed;
}

// Ranks may be armed for a step before the held one, by a change that was released: arming them anew one by one while that step
// begins would leave them with two placements. With the very next step held nothing can begin.
void map_switch::holdNextStep()
{
    for (std::size_t tried = 0; tried < m_found.size(); ++tried) {
        m_holder = (m_holder + 1) % m_found.size();
        const bool holds = std::any_of(m_holds.begin(), m_holds.end(), [this](const auto& hold) { return hold.first == m_holder; });
        if (holds)
            continue;
        m_holds.emplace_back(m_holder, m_newestStep + 1);
        m_confirmed[m_holder] = false;
        return;
    }
}

// Only this clean-up holds this step, so a reading that shows it is from after the claim, and the rank has not changed since.
void map_switch::handleMarked(std::size_t rank, order_reply reply, const rank_view* after)
{
    if (isRefused(reply) && m_skippedRank) {
        claimSkipped();
        return;
    }
    if (!after)
        return;
    if (isRefused(reply)) {
        // It holds another step, which a reading shows, or will show.
        const std::uint64_t held = after->heldStep;
        if (held != 0 && !isMark(held))
            std::erase(m_holds, rank_hold(rank, markStep()));
        if (held != 0)
            addHold(rank, held);
        return;
    }
    if (after->heldStep != markStep())
        return;
    m_confirmed[rank] = true;
    m_found[rank].placement = claimablePlacement(*after);
    m_found[rank].placementInUse = after->placementInUse;
    endSecuring();
}

// The marks have refuted that the silent rank can be left out: it is claimed like the others.
void map_switch::claimSkipped()
{
    const std::size_t rank = *m_skippedRank;
    m_skippedRank.reset();
    m_silentRank.reset();
    m_skipRefuted = true;
    m_marked = false;
    enter(switch_phase::claiming);
    std::fill(m_confirmed.begin(), m_confirmed.end(), true);
    m_confirmed[rank] = false;
}

std::uint64_t map_switch::markStep() const
{
    return firstMarkStep + m_settings.fence;
}

bool map_switch::skipUnclaimed()
{
    m_skippedRank = skippableRank();
    if (!m_skippedRank)
        return false;
    const std::size_t holder = holderFor(*m_skippedRank, m_found.size());
    m_placement = m_found[holder].placement;
    m_holds = { { holder, m_found[holder].heldStep } };
    m_holdPossible = true;
    enter(switch_phase::securing);
    m_confirmed[holder] = m_found[holder].securedStep == m_found[holder].heldStep;
    mark();
    return true;
}

// A leader arms its own rank only after all other ranks have been armed, and disarms it first; a clean-up keeps to the same order.
// Claimed ranks refuse the orders of the earlier leader. So a single claimed rank that is not armed proves that the leader's own
// rank is not armed, and never will be. All claimed ranks must have prepared that leader's placement, and the only hold must be
// at the rank where that leader places it: then no other leader's change can have armed the missing
// rank either. What the readings show here is proved by marks before it is used.
std::optional<std::size_t> map_switch::skippableRank() const
{
    const auto missing = static_cast<std::size_t>(std::find(m_confirmed.begin(), m_confirmed.end(), false) - m_confirmed.begin());
    if (m_skipRefuted || std::count(m_confirmed.begin(), m_confirmed.end(), false) != 1 || m_confirmed.size() > leadersPerNumber)
        return std::nullopt;
    const std::size_t holder = holderFor(missing, m_found.size());
    const std::uint64_t placement = m_found[holder].placement;
    if (placement == 0 || !madeBy(placement, missing))
        return std::nullopt;
    bool anyUnarmed = false;
    for (std::size_t rank = 0; rank < m_found.size(); ++rank) {
        if (rank == missing)
            continue;
        const bool holds = m_found[rank].heldStep != 0 && !isMark(m_found[rank].heldStep);
        if (m_found[rank].placement != placement || holds != (rank == holder))
            return std::nullopt;
        anyUnarmed = anyUnarmed || (m_found[rank].unarmed && rank != holder);
    }
    return anyUnarmed ? std::optional(missing) : std::nullopt;
}

bool map_switch::skipIsProved() const
{
    bool anyUnarmed = false;
    for (std::size_t rank = 0; rank < m_found.size(); ++rank) {
        if (rank == *m_skippedRank)
            continue;
        if (m_found[rank].placement != m_placement)
            return false;
        // The holding rank has no mark, so what is known of it may be old.
        anyUnarmed = anyUnarmed || (m_found[rank].unarmed && rank != holderFor(*m_skippedRank, m_found.size()));
    }
    return anyUnarmed;
}

void map_switch::withdrawMarks(std::string reason)
{
    m_reason = std::move(reason);
    std::erase_if(m_holds, [](const auto& hold) { return !isMark(hold.second); });
    enterRelease(switch_phase::releasing_aborted);
}

// Only this change prepares this placement: whoever shows it has accepted the order, and was not armed then.
void map_switch::handlePrepared(std::size_t rank, order_reply reply, const rank_view* after)
{
    if (after && (after->armedPlacement != 0 || after->heldStep != 0)) {
        abort("an earlier leader left the group armed or held");
        return;
    }
    if (after && after->preparedPlacement == m_placement)
        m_confirmed[rank] = true;
    else if (after && reply == order_reply::conflict && after->preparedPlacement > m_placement)
        abort("a rank has prepared a newer placement");
    else if (reply == order_reply::refused)
        abort("a rank refused to prepare");
    if (m_phase == switch_phase::preparing && allConfirmed()) {
        m_step = m_newestStep + m_settings.stepsAhead;
        enter(switch_phase::holding);
    }
}

// A reading that shows the step as held may be from an earlier change that held the same step.
void map_switch::handleHeld(order_reply reply, const rank_view* after)
{
    m_holdPossible = true;
    m_holds = { { m_holder, m_step } };
    if (isRefused(reply)) {
        abort("the step could not be held");
        return;
    }
    if (!isDone(reply) || !after)
        return;
    enter(switch_phase::arming);
    // The leader's own rank is armed last.
    m_confirmed[m_ownRank] = true;
    if (allConfirmed())
        enter(switch_phase::arming_own);
}

// Only this change arms this placement for this step. Whoever disarms it since has claimed the holding rank before, which then
// refuses the release of this change: a reading of any age is a proof here.
void map_switch::handleArmed(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    if (m_isCleanUp) {
        handleRearmed(rank, sent, reply, after);
        return;
    }
    const bool shown = after && after->armedPlacement == m_placement && after->armedStep == m_step;
    if (shown || (isDone(reply) && after && sent.step == m_step))
        m_confirmed[rank] = true;
    else if (isRefused(reply))
        abort("a rank could not be armed");
    if (m_phase == switch_phase::arming_own && m_confirmed[m_ownRank])
        enterRelease(switch_phase::releasing);
    else if (m_phase == switch_phase::arming && allConfirmed())
        enter(switch_phase::arming_own);
}

// The rank that a clean-up could leave out while this step is held comes last: as with a leader's change, while it is armed, all
// others are.
std::vector<rank_order_to_send> map_switch::pendingRearms() const
{
    std::vector<rank_order_to_send> orders;
    for (std::size_t rank = 0; rank < m_confirmed.size(); ++rank) {
        if (!m_confirmed[rank])
            orders.push_back({ rank, orderOf(map_order_kind::arm, m_undoing ? m_armed[rank] : m_placement, m_step) });
    }
    if (orders.size() > 1)
        std::erase_if(orders, [this](const rank_order_to_send& next) { return next.rank == m_ownRank; });
    return orders;
}

// The rank has a single place for an armed placement: after this answer it is armed with the named one, whatever it was before.
void map_switch::handleRearmed(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    if (sent.step != m_step || sent.placement != (m_undoing ? m_armed[rank] : m_placement))
        return;
    if (isRefused(reply)) {
        handleRearmRefused(rank);
        return;
    }
    if (!isDone(reply) || !after)
        return;
    m_confirmed[rank] = true;
    endRearming();
}

void map_switch::endRearming()
{
    if (!allConfirmed())
        return;
    if (m_undoing)
        enterDisarming();
    else
        enterRelease(switch_phase::releasing);
}

// It has not prepared this placement: what was known of it was old.
void map_switch::handleRearmRefused(std::size_t rank)
{
    if (!m_undoing) {
        m_armingRefused = true;
        enter(switch_phase::securing);
        std::fill(m_confirmed.begin(), m_confirmed.end(), true);
        mark();
        return;
    }
    if (m_found[rank].isPending()) {
        m_armed[rank] = m_found[rank].placement;
        return;
    }
    m_armed[rank] = neverPrepared;
    m_confirmed[rank] = true;
    endRearming();
}

// An order to arm that is still on its way carries a lower fence than the order to disarm: a rank
// that has answered the order to disarm refuses it. The order names the placement that the rank may be armed with, so its
// answer proves that it is armed no more; a reading proves neither, and a conflict means that the placement is in use.
void map_switch::handleDisarmed(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    if (!isDone(reply) || !after || sent.placement != m_armed[rank])
        return;
    m_confirmed[rank] = true;
    if (m_phase == switch_phase::disarming_leader) {
        m_armed[m_ownRank] = neverPrepared;
        enterDisarming();
        return;
    }
    if (allConfirmed())
        enterRelease(switch_phase::releasing_aborted);
}

// Where a change takes effect, the first of the held steps comes last: once it begins, a hold that is left would belong to no change.
std::vector<rank_order_to_send> map_switch::pendingReleases() const
{
    std::vector<rank_order_to_send> orders;
    const auto first = std::min_element(m_holds.begin(), m_holds.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    for (auto hold = m_holds.begin(); hold != m_holds.end(); ++hold) {
        if (hold != first || m_holds.size() == 1 || m_phase == switch_phase::releasing_aborted)
            orders.push_back({ hold->first, orderOf(map_order_kind::release, 0, hold->second) });
    }
    return orders;
}

// A reading without the hold may be from before it; one that shows the step as begun proves the release.
void map_switch::handleReleased(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    std::erase_if(m_holds, [&](const auto& hold) {
        if (hold.first != rank || hold.second != sent.step || !after)
            return false;
        return isDone(reply) || after->step >= hold.second;
    });
    if (m_holds.empty())
        m_phase = m_phase == switch_phase::releasing ? switch_phase::done : switch_phase::failed;
}

// A clean-up that has secured the hold goes on: what it has ordered so far leaves the group as safe as it was.
void map_switch::cancel()
{
    if (m_phase == switch_phase::claiming) {
        if (!skipUnclaimed())
            withdrawMarks("a rank could not be claimed");
        return;
    }
    if (m_phase == switch_phase::securing) {
        withdrawMarks("a rank did not confirm in time");
        return;
    }
    if (m_isCleanUp)
        return;
    if (m_phase == switch_phase::preparing || m_phase == switch_phase::holding || m_phase == switch_phase::arming || m_phase == switch_phase::arming_own)
        abort("a rank did not confirm in time");
}

void map_switch::abandon(std::string reason)
{
    fail(std::move(reason));
}

bool map_switch::awaitsReading() const
{
    return m_phase == switch_phase::securing && m_skippedRank;
}

void map_switch::abort(std::string reason)
{
    // Before a step is held this change has armed no rank.
    if (m_phase == switch_phase::preparing) {
        fail(std::move(reason));
        return;
    }
    m_reason = std::move(reason);
    m_holds = { { m_holder, m_step } };
    m_holdPossible = true;
    enterDisarming();
}

} // namespace rampgap
