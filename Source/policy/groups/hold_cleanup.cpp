#include "policy/groups/hold_cleanup.h"

#include "policy/groups/placement_number.h"

#include <algorithm>

namespace rampgap {

namespace {

    bool isMark(std::uint64_t step)
    {
        return step >= firstMarkStep;
    }

    // The newest placement that the rank may be armed with.
    std::uint64_t claimablePlacement(const rank_view& view)
    {
        return view.armedPlacement == 0 ? view.preparedPlacement : view.armedPlacement;
    }

    // The rank whose leader holds steps at this rank.
    std::size_t leaderFor(std::size_t holder, std::size_t ranks)
    {
        return (holder + ranks - 1) % ranks;
    }

    bool isEarlier(const rank_hold& a, const rank_hold& b)
    {
        return a.second < b.second;
    }

} // namespace

hold_cleanup::hold_cleanup(std::uint64_t epoch, std::size_t ranks, std::uint64_t fence, std::optional<std::size_t> silentRank, const std::vector<rank_hold>& seenHolds)
    : rank_change(epoch, ranks, fence)
    , m_found(ranks)
    , m_silentRank(silentRank)
{
    m_reason = "left by an earlier leader";
    for (const auto& [rank, step] : seenHolds) {
        if (rank < ranks)
            m_found[rank].heldStep = step;
    }
    enter(switch_phase::claiming);
}

std::vector<rank_order_to_send> hold_cleanup::pendingInPhase() const
{
    switch (m_phase) {
    case switch_phase::claiming:
        return pendingClaims();
    case switch_phase::securing:
        return pendingSecures();
    default:
        return pendingRearms();
    }
}

void hold_cleanup::handleInPhase(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    if (m_phase == switch_phase::claiming && (sent.kind == map_order_kind::disarm || sent.kind == map_order_kind::hold))
        handleClaimed(rank, sent, reply, after);
    else if (m_phase == switch_phase::securing && sent.kind == map_order_kind::hold)
        handleSecured(rank, sent, reply, after);
    else if (m_phase == switch_phase::securing && sent.kind == map_order_kind::release)
        handleMarkReleased(rank, sent, reply, after);
    else if (m_phase == switch_phase::arming && sent.kind == map_order_kind::arm)
        handleRearmed(rank, sent, reply, after);
}

void hold_cleanup::noteReading(std::size_t rank, const rank_view& view)
{
    found_rank& found = m_found[rank];
    // The mark has shown the state that the claim left, and since the claim the rank obeys only this clean-up. A reading that comes
    // after the one with the mark may still be older than it.
    if (found.certain)
        return;
    // Placements are prepared in increasing order only.
    found.placement = std::max(found.placement, claimablePlacement(view));
    found.placementInUse = std::max(found.placementInUse, view.placementInUse);
    found.unarmed = view.armedPlacement == 0;
    if (view.heldStep != 0)
        found.heldStep = view.heldStep;
}

std::vector<rank_order_to_send> hold_cleanup::pendingClaims() const
{
    // Disarming a placement that was never prepared changes nothing but the fence.
    auto orders = toUnconfirmed(orderOf(map_order_kind::disarm, neverPrepared, 0));
    std::erase_if(orders, [this](const rank_order_to_send& next) { return next.rank == m_silentRank; });
    for (auto& next : orders) {
        const found_rank& found = m_found[next.rank];
        if (found.heldStep != 0 && !isMark(found.heldStep) && !found.holdRefused)
            next.order = orderOf(map_order_kind::hold, 0, found.heldStep);
    }
    return orders;
}

// The answer raises the rank's fence: from now on it refuses the orders of earlier leaders, those in its buffers, too.
// Where a hold is known it is claimed and secured with one order.
void hold_cleanup::handleClaimed(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    if (sent.kind == map_order_kind::hold && reply == order_reply::conflict)
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

void hold_cleanup::endClaim()
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

void hold_cleanup::addHold(std::size_t rank, std::uint64_t step)
{
    const rank_hold hold(rank, step);
    if (std::find(m_holds.begin(), m_holds.end(), hold) == m_holds.end())
        m_holds.push_back(hold);
}

// A rank holds one step at a time: a mark that an earlier clean-up has left is released before the rank is marked.
std::vector<rank_order_to_send> hold_cleanup::pendingSecures() const
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

void hold_cleanup::handleMarkReleased(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    if (isDone(reply) && after)
        std::erase(m_holds, rank_hold(rank, sent.step));
}

// A hold that a reading shows may have been released since by the order of an earlier leader: the step could begin while the ranks
// are armed or disarmed one by one. The answer to the same hold under the new fence makes it certain.
void hold_cleanup::handleSecured(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
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
    else if (reply == order_reply::conflict && m_skippedRank) {
        claimSkipped();
        return;
    } else if (reply == order_reply::conflict) {
        m_holds.erase(hold);
        if (m_marked)
            addHold(rank, markStep());
    }
    endSecuring();
}

void hold_cleanup::endSecuring()
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
    const auto first = std::min_element(m_holds.begin(), m_holds.end(), isEarlier);
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
    m_lastRank = leaderFor(first->first, m_found.size());
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

bool hold_cleanup::allPreparedTheSame() const
{
    return !m_armingRefused && std::all_of(m_found.begin(), m_found.end(), [this](const found_rank& found) { return found.isPending() && found.placement == m_found.front().placement; });
}

// Marks all ranks but those that hold a step and the skipped one, so that their states are known for certain.
void hold_cleanup::mark()
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

bool hold_cleanup::holdsStep(std::size_t rank) const
{
    return std::any_of(m_holds.begin(), m_holds.end(), [rank](const auto& hold) { return hold.first == rank && !isMark(hold.second); });
}

// Disarms each rank that may be armed. A rank that holds a step is not marked, so that what is known of it may be old: it is armed
// first with the newest placement that it may have prepared, and the answer proves what it is armed with.
void hold_cleanup::undo()
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

// Ranks may be armed for a step before the held one, by a change that was released: arming them anew one by one while that step
// begins would leave them with two placements. With the very next step held nothing can begin.
void hold_cleanup::holdNextStep()
{
    for (std::size_t tried = 0; tried < m_found.size(); ++tried) {
        m_nextHolder = (m_nextHolder + 1) % m_found.size();
        const bool holds = std::any_of(m_holds.begin(), m_holds.end(), [this](const auto& hold) { return hold.first == m_nextHolder; });
        if (holds)
            continue;
        m_holds.emplace_back(m_nextHolder, m_newestStep + 1);
        m_confirmed[m_nextHolder] = false;
        return;
    }
}

// Only this clean-up holds this step, so a reading that shows it is from after the claim, and the rank has not changed since.
void hold_cleanup::handleMarked(std::size_t rank, order_reply reply, const rank_view* after)
{
    if (reply == order_reply::conflict && m_skippedRank) {
        claimSkipped();
        return;
    }
    if (!after)
        return;
    if (reply == order_reply::conflict) {
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
    m_found[rank].certain = true;
    endSecuring();
}

// The marks have refuted that the silent rank can be left out: it is claimed like the others.
void hold_cleanup::claimSkipped()
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

std::uint64_t hold_cleanup::markStep() const
{
    return firstMarkStep + m_fence / fencesPerChange;
}

bool hold_cleanup::skipUnclaimed()
{
    m_skippedRank = skippableRank();
    if (!m_skippedRank)
        return false;
    m_lastRank = *m_skippedRank;
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
std::optional<std::size_t> hold_cleanup::skippableRank() const
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

bool hold_cleanup::skipIsProved() const
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

void hold_cleanup::withdrawMarks(std::string reason)
{
    m_reason = std::move(reason);
    std::erase_if(m_holds, [](const auto& hold) { return !isMark(hold.second); });
    enterRelease(switch_phase::releasing_aborted);
}

// The rank that a clean-up could leave out while this step is held comes last: as with a leader's change, while it is armed, all
// others are.
std::vector<rank_order_to_send> hold_cleanup::pendingRearms() const
{
    std::vector<rank_order_to_send> orders;
    for (std::size_t rank = 0; rank < m_confirmed.size(); ++rank) {
        if (!m_confirmed[rank])
            orders.push_back({ rank, orderOf(map_order_kind::arm, m_undoing ? m_armed[rank] : m_placement, m_step) });
    }
    if (orders.size() > 1)
        std::erase_if(orders, [this](const rank_order_to_send& next) { return next.rank == m_lastRank; });
    return orders;
}

// The rank has a single place for an armed placement: after this answer it is armed with the named one, whatever it was before.
void hold_cleanup::handleRearmed(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    if (sent.step != m_step || sent.placement != (m_undoing ? m_armed[rank] : m_placement))
        return;
    if (reply == order_reply::conflict) {
        handleRearmRefused(rank);
        return;
    }
    if (!isDone(reply) || !after)
        return;
    m_confirmed[rank] = true;
    endRearming();
}

void hold_cleanup::endRearming()
{
    if (!allConfirmed())
        return;
    if (m_undoing)
        enterDisarming();
    else
        enterRelease(switch_phase::releasing);
}

// The engine refuses to be armed with a placement that it has not prepared, so the reading that showed it as prepared last was
// outdated. A clean-up that wanted to complete the change now marks all ranks to learn their states; one that undoes it names what
// a newer reading shows.
void hold_cleanup::handleRearmRefused(std::size_t rank)
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

// A clean-up that has secured the hold goes on: what it has ordered so far leaves the group as safe as it was.
void hold_cleanup::cancel()
{
    if (m_phase == switch_phase::claiming) {
        if (!skipUnclaimed())
            withdrawMarks("a rank could not be claimed");
    } else if (m_phase == switch_phase::securing)
        withdrawMarks("a rank did not confirm in time");
}

bool hold_cleanup::awaitsReading() const
{
    return m_phase == switch_phase::securing && m_marked;
}

} // namespace rampgap
