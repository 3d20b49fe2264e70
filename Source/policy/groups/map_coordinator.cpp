#include "policy/groups/map_coordinator.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Each phase has its own kind of answer, so that a late one of another phase is not counted.
    std::optional<map_message_kind> expectedAnswer(coordinator_phase phase)
    {
        switch (phase) {
        case coordinator_phase::confirming:
            return map_message_kind::confirmed;
        case coordinator_phase::preparing:
            return map_message_kind::prepared;
        case coordinator_phase::committing:
            return map_message_kind::committed;
        case coordinator_phase::aborting:
            return map_message_kind::aborted;
        default:
            return std::nullopt;
        }
    }

} // namespace

map_coordinator::map_coordinator(std::string owner, std::size_t ranks)
    : m_ranks(ranks)
    , m_fence { 0, std::move(owner) }
    , m_states(ranks)
{
}

std::vector<rank_message> map_coordinator::claim()
{
    ++m_fence.number;
    m_states.assign(m_ranks, std::nullopt);
    return enter(coordinator_phase::claiming);
}

std::vector<rank_message> map_coordinator::enter(coordinator_phase phase)
{
    m_phase = phase;
    m_answers.clear();
    return pending();
}

map_message map_coordinator::order(std::size_t rank) const
{
    map_message message;
    message.fence = m_fence;
    message.incarnation = m_states[rank] ? m_states[rank]->incarnation : 0;
    message.map = m_map;
    message.step = m_step;
    switch (m_phase) {
    case coordinator_phase::confirming:
        message.kind = map_message_kind::confirm;
        break;
    case coordinator_phase::preparing:
        message.kind = map_message_kind::prepare;
        break;
    case coordinator_phase::committing:
        message.kind = map_message_kind::commit;
        break;
    case coordinator_phase::aborting:
        message.kind = map_message_kind::abort;
        break;
    default:
        message.kind = map_message_kind::claim;
    }
    return message;
}

std::vector<rank_message> map_coordinator::pending() const
{
    std::vector<rank_message> messages;
    if (m_phase == coordinator_phase::idle || m_phase == coordinator_phase::outranked)
        return messages;
    for (std::size_t rank = 0; rank < m_ranks; ++rank) {
        if (!m_answers.contains(rank))
            messages.push_back({ rank, order(rank) });
    }
    return messages;
}

std::vector<rank_message> map_coordinator::propose(step_number step)
{
    if (m_phase != coordinator_phase::idle)
        return {};
    ++m_map;
    m_step = step;
    return enter(coordinator_phase::preparing);
}

// A rank follows a coordinator with a higher fence. A coordinator that is still claiming claims again
// with a number above it. One that has claimed all ranks steps down, so that a coordinator with an
// outdated view does not compete with a newer one.
std::vector<rank_message> map_coordinator::outrank(const map_fence& higher)
{
    m_fence.number = std::max(m_fence.number, higher.number);
    if (m_phase == coordinator_phase::claiming)
        return claim();
    return enter(coordinator_phase::outranked);
}

std::vector<rank_message> map_coordinator::handleAnswer(std::size_t rank, const map_message& answer)
{
    if (m_phase == coordinator_phase::outranked)
        return {};
    if (answer.kind == map_message_kind::refused && answer.fence > m_fence)
        return outrank(answer.fence);
    // Answers to another claim, and those that arrive after their phase, are ignored.
    if (answer.fence != m_fence && answer.kind != map_message_kind::refused)
        return {};
    if (m_phase == coordinator_phase::claiming) {
        if (answer.kind != map_message_kind::state)
            return {};
        m_states[rank] = answer;
        m_answers.insert(rank);
        return m_answers.size() < m_ranks ? std::vector<rank_message> {} : enter(coordinator_phase::confirming);
    }
    if (answer.map != m_map)
        return {};
    // A refusal under this coordinator's fence: too late to prepare, or another incarnation.
    if (answer.kind == map_message_kind::refused) {
        const bool restarted = !m_states[rank] || answer.incarnation != m_states[rank]->incarnation || answer.fence != m_fence;
        if (restarted && m_phase != coordinator_phase::idle)
            return claim();
        return m_phase == coordinator_phase::preparing ? enter(coordinator_phase::aborting) : std::vector<rank_message> {};
    }
    if (answer.kind != expectedAnswer(m_phase))
        return {};
    m_answers.insert(rank);
    if (m_answers.size() < m_ranks)
        return {};
    if (m_phase == coordinator_phase::confirming)
        return resolve();
    if (m_phase == coordinator_phase::preparing)
        return enter(coordinator_phase::committing);
    m_commits += m_phase == coordinator_phase::committing ? 1 : 0;
    return enter(coordinator_phase::idle);
}

// True if some rank committed a map that another rank only has staged.
bool map_coordinator::anyCommitted() const
{
    return std::any_of(m_states.begin(), m_states.end(), [&](const auto& committed) {
        return std::any_of(m_states.begin(), m_states.end(), [&](const auto& staged) { return staged->state.stagedMap != 0 && committed->state.committedMap == staged->state.stagedMap; });
    });
}

// An agent forgets its fence when it restarts, so the ranks claimed in one round may never have had
// the fence at the same time. A rank that confirms has kept the fence since it reported its state.
// So after the second round there was a moment at which all ranks had the fence and were in the
// reported states. A map that one rank has committed was prepared by all, so all commit it; a map
// that none has committed is aborted.
std::vector<rank_message> map_coordinator::resolve()
{
    bool staged = false;
    m_map = 0;
    for (const auto& state : m_states) {
        m_map = std::max({ m_map, state->state.committedMap, state->state.stagedMap });
        staged = staged || state->state.stagedMap != 0;
    }
    if (anyCommitted())
        return enter(coordinator_phase::committing);
    if (staged)
        return enter(coordinator_phase::aborting);
    return enter(coordinator_phase::idle);
}

step_number map_coordinator::highestStep() const
{
    step_number highest = m_recordedStep;
    for (const auto& state : m_states) {
        if (state)
            highest = std::max(highest, state->state.step);
    }
    return highest;
}

} // namespace rampgap
