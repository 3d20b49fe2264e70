#include "policy/groups/map_switch.h"

#include <algorithm>

namespace rampgap {

namespace {

    bool isRefused(order_reply reply)
    {
        return reply == order_reply::conflict || reply == order_reply::refused;
    }

} // namespace

map_switch::map_switch(std::uint64_t placement, std::shared_ptr<const group_placement> contents, std::uint64_t epoch, std::size_t ranks, std::size_t ownRank, switch_settings settings)
    : rank_change(epoch, ranks, settings.fence)
    , m_contents(std::move(contents))
    , m_holder(holderFor(ownRank, ranks))
    , m_stepsAhead(settings.stepsAhead)
{
    m_placement = placement;
    m_lastRank = ownRank;
    std::fill(m_armed.begin(), m_armed.end(), placement);
}

std::vector<rank_order_to_send> map_switch::pendingInPhase() const
{
    map_order order = orderOf(map_order_kind::prepare, m_placement, 0);
    switch (m_phase) {
    case switch_phase::preparing:
        order.contents = m_contents;
        return toUnconfirmed(order);
    case switch_phase::holding:
        return { { m_holder, orderOf(map_order_kind::hold, 0, m_step) } };
    case switch_phase::arming_own:
        return { { m_lastRank, orderOf(map_order_kind::arm, m_placement, m_step) } };
    default:
        return toUnconfirmed(orderOf(map_order_kind::arm, m_placement, m_step));
    }
}

void map_switch::handleInPhase(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    if (m_phase == switch_phase::preparing && sent.kind == map_order_kind::prepare)
        handlePrepared(rank, reply, after);
    else if (m_phase == switch_phase::holding && sent.kind == map_order_kind::hold)
        handleHeld(reply, after);
    else if ((m_phase == switch_phase::arming || m_phase == switch_phase::arming_own) && sent.kind == map_order_kind::arm)
        handleArmed(rank, sent, reply, after);
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
        m_step = m_newestStep + m_stepsAhead;
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
    m_confirmed[m_lastRank] = true;
    if (allConfirmed())
        enter(switch_phase::arming_own);
}

// Only this change arms this placement for this step. Whoever disarms it since has claimed the holding rank before, which then
// refuses the release of this change: a reading of any age is a proof here.
void map_switch::handleArmed(std::size_t rank, const map_order& sent, order_reply reply, const rank_view* after)
{
    const bool shown = after && after->armedPlacement == m_placement && after->armedStep == m_step;
    if (shown || (isDone(reply) && after && sent.step == m_step))
        m_confirmed[rank] = true;
    else if (isRefused(reply))
        abort("a rank could not be armed");
    if (m_phase == switch_phase::arming_own && m_confirmed[m_lastRank])
        enterRelease(switch_phase::releasing);
    else if (m_phase == switch_phase::arming && allConfirmed())
        enter(switch_phase::arming_own);
}

void map_switch::cancel()
{
    if (m_phase == switch_phase::preparing || m_phase == switch_phase::holding || m_phase == switch_phase::arming || m_phase == switch_phase::arming_own)
        abort("a rank did not confirm in time");
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
