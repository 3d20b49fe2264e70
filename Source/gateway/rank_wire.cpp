#include "gateway/rank_wire.h"

#include "gateway/placement_codec.h"

namespace rampgap {

gateway::rank_view toWire(const rank_view& view)
{
    gateway::rank_view wire;
    wire.set_group(view.group);
    wire.set_epoch(view.epoch);
    wire.set_rank(view.rank);
    wire.set_open(view.open);
    wire.set_group_size(view.groupSize);
    wire.set_step(view.step);
    wire.set_placement_in_use(view.placementInUse);
    wire.set_prepared_placement(view.preparedPlacement);
    wire.set_armed_placement(view.armedPlacement);
    wire.set_armed_step(view.armedStep);
    wire.set_held_step(view.heldStep);
    wire.set_orders(view.orders);
    wire.set_queued(static_cast<std::uint32_t>(view.queued));
    wire.set_active(static_cast<std::uint32_t>(view.active));
    wire.set_pace(view.pace);
    return wire;
}

rank_view fromWire(const gateway::rank_view& wire)
{
    rank_view view;
    view.group = wire.group();
    view.epoch = wire.epoch();
    view.rank = wire.rank();
    view.open = wire.open();
    view.groupSize = wire.group_size();
    view.step = wire.step();
    view.placementInUse = wire.placement_in_use();
    view.preparedPlacement = wire.prepared_placement();
    view.armedPlacement = wire.armed_placement();
    view.armedStep = wire.armed_step();
    view.heldStep = wire.held_step();
    view.orders = wire.orders();
    view.queued = static_cast<int>(wire.queued());
    view.active = static_cast<int>(wire.active());
    view.pace = wire.pace();
    return view;
}

gateway::rank_order toWire(const map_order& order)
{
    gateway::rank_order wire;
    wire.set_has_order(true);
    wire.set_kind(static_cast<std::uint32_t>(order.kind));
    wire.set_placement(order.placement);
    wire.set_step(order.step);
    wire.set_epoch(order.epoch);
    wire.set_fence(order.fence);
    if (order.contents)
        wire.set_contents(packPlacement(*order.contents));
    return wire;
}

gateway::rank_order toWire(const map_order& order, const numbered_placement& base)
{
    map_order bare = order;
    bare.contents = nullptr;
    gateway::rank_order wire = toWire(bare);
    wire.set_base_placement(base.number);
    for (std::size_t set = 0; set < order.contents->size(); ++set) {
        const auto& ranks = (*order.contents)[set];
        for (std::size_t rank = 0; rank < ranks.size(); ++rank) {
            if (ranks[rank] == (*base.contents)[set][rank])
                continue;
            auto* change = wire.add_changes();
            change->set_set(static_cast<std::uint32_t>(set));
            change->set_rank(static_cast<std::uint32_t>(rank));
            change->mutable_experts()->Assign(ranks[rank].begin(), ranks[rank].end());
        }
    }
    return wire;
}

map_order fromWire(const gateway::rank_order& wire, const group_placement* base)
{
    map_order order;
    order.kind = static_cast<map_order_kind>(wire.kind());
    order.placement = wire.placement();
    order.step = wire.step();
    order.epoch = wire.epoch();
    order.fence = wire.fence();
    if (base && wire.base_placement() != 0) {
        auto changed = std::make_shared<group_placement>(*base);
        for (const auto& change : wire.changes()) {
            if (change.set() < changed->size() && change.rank() < (*changed)[change.set()].size())
                (*changed)[change.set()][change.rank()].assign(change.experts().begin(), change.experts().end());
        }
        order.contents = std::move(changed);
        return order;
    }
    if (auto contents = unpackPlacement(wire.contents()))
        order.contents = std::make_shared<const group_placement>(std::move(*contents));
    return order;
}

} // namespace rampgap
