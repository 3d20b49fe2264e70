#include "policy/groups/map_switch.h"

#include "policy/groups/placement_number.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A placement number that is never used: real ones are far higher, and 0 is the placement that a
    // group opens with.
    constexpr std::uint64_t neverPrepared = 1;

    // The rank has carried out the order, or it had nothing to do.
    bool isDone(order_reply reply)
    {
        return reply == order_reply::accepted || reply == order_reply::already;
    }

    bool isAnswered(order_reply reply)
    {
        return isDone(reply) || reply == order_reply::conflict;
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

} // namespace

map_switch::map_switch(std::uint64_t placement, std::shared_ptr<const group_placement> contents, std::uint64_t epoch, std::size_t ranks, std::size_t ownRank, switch_settings settings)
    : m_placement(placement)
    , m_contents(std::move(contents))
    , m_epoch(epoch)
    , m_ownRank(ownRank)
    , m_holder(holderFor(ownRank, ranks))
    , m_claimed(ranks)
    , m_settings(settings)
    , m_confirmed(ranks, false)
    , m_armed(ranks, placement)
{
}

map_switch map_switch::cleanUp(std::uint64_t epoch, std::size_t ranks, std::uint64_t fence, std::optional<std::size_t> silentRank)
{
    map_switch made(0, nullptr, epoch, ranks, 0, { 0, fence });
    made.m_silentRank = silentRank;
    made.m_reason = "left by an earlier leader";
    made.enter(switch_phase::claiming);
    return made;
}

void map_switch::enter(switch_phase phase)
{
    m_phase = phase;
    std::fill(m_confirmed.begin(), m_confirmed.end(), false);
    if (m_skippedRank)
        m_confirmed[*m_skippedRank] = true;
    if (phase == switch_phase::releasing_aborted && m_holds.empty())
        m_phase = switch_phase::failed;
}

bool map_switch::allConfirmed() const
{
    return std::all_of(m_confirmed.begin(), m_confirmed.end(), [](bool confirmed) { return confirmed; });
}

std::vector<rank_order_to_send> map_switch::pending() const
{
    std::vector<rank_order_to_send> orders;
    map_order order;
    order.placement = m_placement;
    order.epoch = m_epoch;
    order.fence = m_settings.fence;
    switch (m_phase) {
    case switch_phase::claiming:
        // Disarming a placement that was never prepared changes nothing but the fence.
        order.kind = map_order_kind::disarm;
        order.placement = neverPrepared;
        break;
    case switch_phase::preparing:
        order.kind = map_order_kind::prepare;
        order.contents = m_contents;
        break;
    case switch_phase::holding:
        order.kind = map_order_kind::hold;
        order.placement = 0;
        order.step = m_step;
        return { { m_holder, order } };
    case switch_phase::arming:
        order.kind = map_order_kind::arm;
        order.step = m_step;
        break;
    case switch_phase::arming_own:
        order.kind = map_order_kind::arm;
        order.step = m_step;
        return { { m_ownRank, order } };
    case switch_phase::disarming_leader:
        order.kind = map_order_kind::disarm;
        order.placement = m_armed[m_disarmFirst];
        return { { m_disarmFirst, order } };
    case switch_phase::disarming:
        order.kind = map_order_kind::disarm;
        break;
    case switch_phase::releasing:
    case switch_phase::releasing_aborted:
        order.kind = map_order_kind::release;
        order.placement = 0;
        for (const auto& [rank, step] : m_holds) {
            order.step = step;
            orders.push_back({ rank, order });
        }
        return orders;
    case switch_phase::done:
    case switch_phase::failed:
        return {};
    }
    for (std::size_t rank = 0; rank < m_confirmed.size(); ++rank) {
        if (m_confirmed[rank] || (m_phase == switch_phase::claiming && rank == m_silentRank))
            continue;
        if (m_phase == switch_phase::disarming)
            order.placement = m_armed[rank];
        orders.push_back({ rank, order });
    }
    return orders;
}

void map_switch::handleReply(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    const map_order_kind kind = sent.kind;
    // A new epoch starts with placement 0 and nothing prepared, armed or held.
    if (after && after->epoch > m_epoch) {
        m_reason = "the group has a new epoch";
        m_phase = switch_phase::failed;
        return;
    }
    // No state of this group: the answer to something else.
    if (after && after->epoch != m_epoch)
        after = nullptr;
    if (after)
        m_newestStep = std::max(m_newestStep, after->step);
    if (reply == order_reply::fenced) {
        // Another leader has taken over and cleans up after this one.
        m_reason = "another leader has a higher fence";
        m_phase = switch_phase::failed;
        return;
    }
    if (m_phase == switch_phase::claiming && kind == map_order_kind::disarm)
        handleClaimed(rank, reply, after);
    else if (kind == map_order_kind::prepare && m_phase == switch_phase::preparing)
        handlePrepared(rank, reply, after);
    else if (kind == map_order_kind::hold && m_phase == switch_phase::holding)
        handleHeld(reply, after);
    else if (kind == map_order_kind::arm && (m_phase == switch_phase::arming || m_phase == switch_phase::arming_own))
        handleArmed(rank, reply, after);
    else if (kind == map_order_kind::disarm && (m_phase == switch_phase::disarming_leader || m_phase == switch_phase::disarming))
        handleDisarmed(rank, sent, reply, after);
    else if (kind == map_order_kind::release && (m_phase == switch_phase::releasing || m_phase == switch_phase::releasing_aborted))
        handleReleased(rank, sent, reply, after);
}

void map_switch::handleClaimed(std::size_t rank, order_reply reply, const rank_view* after)
{
    m_claimed[rank].answered = m_claimed[rank].answered || isAnswered(reply);
    if (!isAnswered(reply) || !after)
        return;
    if (after->fresh)
        confirmClaim(rank, *after, after->armedPlacement);
    else
        m_claimed[rank].olderReading = *after;
    acceptOlderReadings();
    if (allConfirmed()) {
        endClaim();
        return;
    }
    const auto unclaimed = std::count(m_confirmed.begin(), m_confirmed.end(), false);
    if (m_silentRank && unclaimed == 1 && !m_confirmed[*m_silentRank] && !skipUnclaimed())
        m_silentRank.reset();
}

void map_switch::confirmClaim(std::size_t rank, const rank_view& view, std::uint64_t armed)
{
    claimed_rank& claimed = m_claimed[rank];
    m_confirmed[rank] = true;
    claimed.placement = claimablePlacement(view);
    claimed.placementInUse = view.placementInUse;
    claimed.hasCurrentReading = view.fresh;
    claimed.unarmed = view.fresh && armed == 0 && view.placementInUse != view.preparedPlacement;
    m_armed[rank] = armed == 0 ? neverPrepared : armed;
    if (view.armedPlacement != 0 && (m_earliestArmedStep == 0 || view.armedStep < m_earliestArmedStep))
        m_earliestArmedStep = view.armedStep;
    if (view.fresh && view.heldStep != 0)
        m_holds.emplace_back(rank, view.heldStep);
}

// True if a current reading shows that the placement is the newest that was prepared at some rank, and is not in use.
bool map_switch::isPendingPlacement(std::uint64_t placement) const
{
    return std::any_of(m_claimed.begin(), m_claimed.end(), [placement](const claimed_rank& claimed) {
        return claimed.hasCurrentReading && claimed.placement == placement && claimed.placementInUse != placement;
    });
}

// A rank that had prepared a placement can be armed with this one or a later one only, and a later one is armed only after all
// ranks have prepared it. If another rank's newest is the same placement, there is no later one. So the rank may be armed with
// this placement, whatever the older reading says, and with no other: its answer to the order to disarm this one proves the rest.
// That takes a hold that is certain: one that an older reading shows may have been released by the order of an earlier leader,
// and the step may begin while the ranks are being disarmed.
void map_switch::acceptOlderReadings()
{
    if (m_holds.empty())
        return;
    for (std::size_t rank = 0; rank < m_claimed.size(); ++rank) {
        const auto older = m_claimed[rank].olderReading;
        if (!older || m_confirmed[rank])
            continue;
        const std::uint64_t placement = claimablePlacement(*older);
        if (placement != 0 && isPendingPlacement(placement))
            confirmClaim(rank, *older, placement);
    }
}

bool map_switch::skipUnclaimed()
{
    m_skippedRank = skippableRank();
    if (!m_skippedRank)
        return false;
    m_armed[*m_skippedRank] = neverPrepared;
    endClaim();
    return true;
}

void map_switch::endClaim()
{
    if (m_holds.empty()) {
        m_reason = "no step is held";
        m_phase = switch_phase::failed;
        return;
    }
    // A change that was released before the held step takes effect without further orders: if it
    // were disarmed now, its step could begin while only some ranks are disarmed.
    for (const auto& [rank, step] : m_holds) {
        if (m_earliestArmedStep != 0 && m_earliestArmedStep < step) {
            m_reason = "an earlier change is yet to take effect";
            m_phase = switch_phase::failed;
            return;
        }
    }
    disarm(armingLeader());
}

// A leader arms its own rank only after all other ranks have reported that they are armed, and a
// clean-up disarms that rank first. Claimed ranks refuse the orders of the earlier leader. So a
// single claimed rank that is not armed proves that the leader's own rank is not armed, and never
// will be. All claimed ranks must have prepared that leader's placement, and the only hold must be
// at the rank where that leader places it: then no other leader's change can have armed the missing
// rank either, since each preparation detects what an earlier change has left.
std::optional<std::size_t> map_switch::skippableRank() const
{
    const auto missing = static_cast<std::size_t>(std::find(m_confirmed.begin(), m_confirmed.end(), false) - m_confirmed.begin());
    if (std::count(m_confirmed.begin(), m_confirmed.end(), false) != 1 || m_confirmed.size() > leadersPerNumber)
        return std::nullopt;
    if (m_holds.size() != 1 || m_holds.front().first != holderFor(missing, m_confirmed.size()))
        return std::nullopt;
    const std::uint64_t placement = m_claimed[m_holds.front().first].placement;
    if (placement == 0 || !madeBy(placement, missing))
        return std::nullopt;
    bool anyUnarmed = false;
    for (std::size_t rank = 0; rank < m_claimed.size(); ++rank) {
        if (rank == missing)
            continue;
        if (m_claimed[rank].placement != placement)
            return std::nullopt;
        anyUnarmed = anyUnarmed || m_claimed[rank].unarmed;
    }
    return anyUnarmed ? std::optional(missing) : std::nullopt;
}

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

void map_switch::handleHeld(order_reply reply, const rank_view* after)
{
    m_holdPossible = true;
    m_holds = { { m_holder, m_step } };
    if (after && after->heldStep == m_step && after->step < m_step) {
        enter(switch_phase::arming);
        // The leader's own rank is armed last.
        m_confirmed[m_ownRank] = true;
        if (allConfirmed())
            enter(switch_phase::arming_own);
        return;
    }
    if (reply == order_reply::conflict || reply == order_reply::refused)
        abort("the step could not be held");
}

void map_switch::handleArmed(std::size_t rank, order_reply reply, const rank_view* after)
{
    if (after && after->armedPlacement == m_placement && after->armedStep == m_step)
        m_confirmed[rank] = true;
    else if (reply == order_reply::conflict || reply == order_reply::refused)
        abort("a rank could not be armed");
    if (m_phase == switch_phase::arming_own && m_confirmed[m_ownRank])
        enter(switch_phase::releasing);
    else if (m_phase == switch_phase::arming && allConfirmed())
        enter(switch_phase::arming_own);
}

// An order to arm that is still on its way carries a lower fence than the order to disarm: a rank
// that has answered the order to disarm refuses it. The order names the placement that the rank may be armed with, so its
// answer proves that it is armed no more. An older reading proves neither; a newer one that shows another placement
// corrects the next order. Replies to the claims of the same round come here, too, and name no placement.
// Without any reading the answer counts for nothing: it may be the second copy of an earlier one, after which the reading of
// the state finds the answer to the order, and is none.
void map_switch::handleDisarmed(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    if (sent.fence != m_settings.fence || !after)
        return;
    const bool named = sent.placement == m_armed[rank];
    if (after->fresh && after->armedPlacement != 0)
        m_armed[rank] = after->armedPlacement;
    else if (after->fresh ? isAnswered(reply) : named && isDone(reply))
        m_confirmed[rank] = true;
    if (m_phase == switch_phase::disarming_leader && m_confirmed[m_disarmFirst]) {
        enter(switch_phase::disarming);
        m_confirmed[m_disarmFirst] = true;
    }
    if (m_phase == switch_phase::disarming && allConfirmed())
        enter(switch_phase::releasing_aborted);
}

void map_switch::disarm(std::optional<std::size_t> leaderRank)
{
    m_holdPossible = true;
    if (!leaderRank) {
        enter(switch_phase::disarming);
        return;
    }
    m_disarmFirst = *leaderRank;
    enter(switch_phase::disarming_leader);
}

std::optional<std::size_t> map_switch::armingLeader() const
{
    const auto armed = std::find_if(m_armed.begin(), m_armed.end(), [](std::uint64_t placement) { return placement != neverPrepared; });
    if (armed == m_armed.end())
        return std::nullopt;
    for (std::size_t rank = 0; rank < m_armed.size(); ++rank) {
        if (madeBy(*armed, rank) && rank != m_skippedRank)
            return rank;
    }
    return std::nullopt;
}

void map_switch::handleReleased(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    std::erase_if(m_holds, [&](const auto& hold) {
        if (hold.first != rank || !after)
            return false;
        const bool shownReleased = after->heldStep != hold.second || after->step >= hold.second;
        return after->fresh ? shownReleased : isDone(reply) && sent.step == hold.second;
    });
    if (m_holds.empty())
        m_phase = m_phase == switch_phase::releasing ? switch_phase::done : switch_phase::failed;
}

void map_switch::cancel()
{
    if (m_phase == switch_phase::claiming) {
        if (!skipUnclaimed())
            abort("a rank could not be claimed");
        return;
    }
    if (m_phase == switch_phase::preparing || m_phase == switch_phase::holding || m_phase == switch_phase::arming || m_phase == switch_phase::arming_own)
        abort("a rank did not confirm in time");
}

void map_switch::abandon(std::string reason)
{
    m_reason = std::move(reason);
    m_phase = switch_phase::failed;
}

bool map_switch::awaitsReading() const
{
    if (m_phase != switch_phase::claiming)
        return false;
    for (std::size_t rank = 0; rank < m_claimed.size(); ++rank) {
        if (m_claimed[rank].answered && !m_confirmed[rank])
            return true;
    }
    return false;
}

void map_switch::abort(std::string reason)
{
    m_reason = std::move(reason);
    // Before a step is held this change has armed no rank.
    if (m_phase == switch_phase::preparing || m_phase == switch_phase::claiming) {
        m_phase = switch_phase::failed;
        return;
    }
    m_holds = { { m_holder, m_step } };
    ++m_settings.fence;
    disarm(m_ownRank);
}

} // namespace rampgap
