#include "policy/groups/map_participant.h"

#include <algorithm>

namespace rampgap {

map_participant::map_participant(std::uint64_t incarnation, rank_state reported)
    : m_incarnation(incarnation)
    , m_state(reported)
{
}

participant_answer map_participant::answer(map_message_kind kind, const map_message& to, engine_order order) const
{
    return { order, { kind, m_fence, m_incarnation, to.map, to.step, m_state } };
}

participant_answer map_participant::handle(const map_message& message, const rank_state& current)
{
    m_state = current;
    if (message.fence < m_fence)
        return answer(map_message_kind::refused, message);
    if (message.kind == map_message_kind::claim) {
        m_fence = message.fence;
        m_decided = 0;
        return answer(map_message_kind::state, message);
    }
    // An order for an earlier incarnation may be older than decisions that this one has forgotten.
    if (message.incarnation != m_incarnation || message.fence != m_fence)
        return answer(map_message_kind::refused, message);
    switch (message.kind) {
    case map_message_kind::confirm:
        return answer(map_message_kind::confirmed, message);
    case map_message_kind::prepare:
        return prepare(message);
    case map_message_kind::commit:
        return commit(message);
    case map_message_kind::abort:
        return abort(message);
    default:
        return answer(map_message_kind::refused, message);
    }
}

participant_answer map_participant::prepare(const map_message& message)
{
    if (m_state.stagedMap == message.map && m_state.stagedStep == message.step)
        return answer(map_message_kind::prepared, message);
    const bool tooLate = message.step < m_state.step + minStepsAhead;
    // An engine keeps only one future map: the last switch must have taken effect.
    const bool switchAhead = m_state.committedStep > m_state.step;
    if (tooLate || switchAhead || m_state.stagedMap != 0 || message.map <= m_state.committedMap || message.map <= m_decided)
        return answer(map_message_kind::refused, message);
    return answer(map_message_kind::prepared, message, { engine_order_kind::stage, message.map, message.step });
}

participant_answer map_participant::commit(const map_message& message)
{
    if (m_state.committedMap == message.map)
        return answer(map_message_kind::committed, message);
    if (m_state.stagedMap != message.map)
        return answer(map_message_kind::refused, message);
    m_decided = message.map;
    return answer(map_message_kind::committed, message, { engine_order_kind::commit, message.map, m_state.stagedStep });
}

// Earlier maps are aborted as well: after an incomplete change of coordinators, ranks may have
// different maps staged, none of them committed anywhere. A later map is kept: then this order
// is outdated.
participant_answer map_participant::abort(const map_message& message)
{
    if (m_state.committedMap == message.map)
        return answer(map_message_kind::refused, message);
    m_decided = std::max(m_decided, message.map);
    if (m_state.stagedMap == 0 || m_state.stagedMap > message.map)
        return answer(map_message_kind::aborted, message);
    return answer(map_message_kind::aborted, message, { engine_order_kind::abort, m_state.stagedMap, 0 });
}

bool isCarriedOut(const engine_order& order, const rank_state& after)
{
    switch (order.kind) {
    case engine_order_kind::stage:
        return after.stagedMap == order.map && after.stagedStep == order.step;
    case engine_order_kind::commit:
        return after.committedMap == order.map;
    case engine_order_kind::abort:
        return after.stagedMap != order.map;
    case engine_order_kind::none:
        break;
    }
    return true;
}

bool mayStart(const rank_state& state, step_number step)
{
    return state.stagedMap == 0 || step < state.stagedStep;
}

} // namespace rampgap
