#include "engine_model.h"

#include <algorithm>

namespace rampgap {

order_reply group_model::apply(std::size_t rank, const map_order& order)
{
    model_engine& engine = m_engines[rank];
    if (order.fence < engine.fence)
        return order_reply::fenced;
    engine.fence = order.fence;
    switch (order.kind) {
    case map_order_kind::prepare:
        if (order.placement <= engine.highest || engine.armed != 0)
            return order.placement == engine.prepared ? order_reply::already : order_reply::conflict;
        engine.highest = order.placement;
        engine.prepared = order.placement;
        return order_reply::accepted;
    case map_order_kind::hold:
        if (order.step <= m_step || (engine.held != 0 && engine.held != order.step))
            return order_reply::conflict;
        engine.held = order.step;
        return order_reply::already;
    case map_order_kind::arm:
        if (order.placement != engine.prepared || order.step <= m_step)
            return order_reply::conflict;
        engine.armed = order.placement;
        engine.armedStep = order.step;
        return order_reply::already;
    case map_order_kind::disarm:
        if (order.placement == engine.inUse && engine.armed != order.placement)
            return order_reply::conflict;
        if (engine.armed == order.placement) {
            engine.armed = 0;
            engine.armedStep = 0;
        }
        return order_reply::already;
    case map_order_kind::release:
        if (engine.held == order.step)
            engine.held = 0;
        return order_reply::already;
    }
    return order_reply::refused;
}

rank_view group_model::view(std::size_t rank) const
{
    const model_engine& engine = m_engines[rank];
    rank_view view;
    view.epoch = 1;
    view.rank = static_cast<std::uint32_t>(rank);
    view.open = true;
    view.groupSize = static_cast<std::uint32_t>(m_engines.size());
    view.step = m_step;
    view.placementInUse = engine.inUse;
    view.preparedPlacement = engine.prepared;
    view.armedPlacement = engine.armed;
    view.armedStep = engine.armedStep;
    view.heldStep = engine.held;
    return view;
}

bool group_model::step()
{
    const std::uint64_t next = m_step + 1;
    for (const auto& engine : m_engines) {
        if (engine.held == next)
            return false;
    }
    m_step = next;
    for (auto& engine : m_engines) {
        if (engine.armed != 0 && engine.armedStep == next) {
            engine.inUse = engine.armed;
            engine.armed = 0;
            engine.prepared = 0;
        }
    }
    m_consistent = m_consistent && std::all_of(m_engines.begin(), m_engines.end(), [&](const auto& engine) { return engine.inUse == m_engines.front().inUse; });
    return true;
}

bool group_model::anyHold() const
{
    return std::any_of(m_engines.begin(), m_engines.end(), [](const auto& engine) { return engine.held != 0; });
}

} // namespace rampgap
