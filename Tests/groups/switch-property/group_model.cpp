#include "group_model.h"

namespace rampgap::test {

void rank_engine::carryOut(const engine_order& order)
{
    switch (order.kind) {
    case engine_order_kind::stage:
        m_state.stagedMap = order.map;
        m_state.stagedStep = order.step;
        break;
    case engine_order_kind::commit:
        m_before = m_state.committedMap;
        m_state.committedMap = order.map;
        m_state.committedStep = order.step;
        m_state.stagedMap = 0;
        m_state.stagedStep = 0;
        break;
    case engine_order_kind::abort:
        m_state.stagedMap = 0;
        m_state.stagedStep = 0;
        break;
    case engine_order_kind::none:
        break;
    }
}

map_id rank_engine::step()
{
    ++m_state.step;
    return m_state.step >= m_state.committedStep ? m_state.committedMap : m_before;
}

group_model::group_model(std::size_t ranks, std::size_t coordinators)
    : m_engines(ranks)
{
    for (std::size_t rank = 0; rank < ranks; ++rank)
        m_agents.emplace_back(m_nextIncarnation++, m_engines[rank].report());
    for (std::size_t i = 0; i < coordinators; ++i)
        m_coordinators.emplace_back("c" + std::to_string(i), ranks);
}

bool group_model::stepTogether()
{
    for (const auto& engine : m_engines) {
        if (!engine.ready()) {
            ++m_waited;
            return m_sameMaps;
        }
    }
    const map_id used = m_engines.front().step();
    for (std::size_t rank = 1; rank < m_engines.size(); ++rank)
        m_sameMaps = m_engines[rank].step() == used && m_sameMaps;
    ++m_steps;
    m_switches += used != m_lastMap ? 1 : 0;
    m_lastMap = used;
    return m_sameMaps;
}

void group_model::send(std::size_t coordinator, const std::vector<rank_message>& messages)
{
    for (const auto& outgoing : messages)
        m_inFlight.push_back({ false, coordinator, outgoing.rank, outgoing.message });
}

void group_model::deliver(std::size_t index, bool keepCopy)
{
    const message_in_flight delivered = m_inFlight[index];
    if (!keepCopy)
        lose(index);
    if (delivered.toCoordinator) {
        send(delivered.coordinator, m_coordinators[delivered.coordinator].handleAnswer(delivered.rank, delivered.message));
        return;
    }
    const auto answered = m_agents[delivered.rank].handle(delivered.message, m_engines[delivered.rank].report());
    m_engines[delivered.rank].carryOut(answered.order);
    m_inFlight.push_back({ true, delivered.coordinator, delivered.rank, answered.answer });
}

void group_model::lose(std::size_t index)
{
    m_inFlight.erase(m_inFlight.begin() + static_cast<std::ptrdiff_t>(index));
}

void group_model::restartAgent(std::size_t rank)
{
    m_agents[rank] = map_participant(m_nextIncarnation++, m_engines[rank].report());
}

void group_model::restartCoordinator(std::size_t coordinator)
{
    m_coordinators[coordinator] = map_coordinator("c" + std::to_string(coordinator) + "#" + std::to_string(m_nextIncarnation++), m_engines.size());
    send(coordinator, m_coordinators[coordinator].claim());
}

void group_model::propose(std::size_t coordinator, step_number ahead)
{
    send(coordinator, m_coordinators[coordinator].propose(m_engines.front().report().step + ahead));
}

void group_model::resend(std::size_t coordinator)
{
    send(coordinator, m_coordinators[coordinator].pending());
}

bool group_model::settle(std::size_t coordinator)
{
    constexpr int maxMessages = 5'000;
    m_inFlight.clear();
    send(coordinator, m_coordinators[coordinator].claim());
    for (int i = 0; i < maxMessages && !m_inFlight.empty(); ++i)
        deliver(0, false);
    return m_coordinators[coordinator].phase() == coordinator_phase::idle;
}

} // namespace rampgap::test
