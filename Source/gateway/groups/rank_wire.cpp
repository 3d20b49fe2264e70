#include "gateway/groups/rank_wire.h"

#include "daemon/http_message.h"
#include "gateway/groups/placement_codec.h"

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
    wire.set_pace(static_cast<float>(view.pace));
    wire.set_incarnation(view.incarnation);
    wire.set_read_from_afar(!view.fresh);
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
    view.incarnation = wire.incarnation();
    view.fresh = !wire.read_from_afar();
    return view;
}

gateway::rank_order toWire(const map_order& order)
{
    gateway::rank_order wire;
    wire.set_kind(static_cast<std::uint32_t>(order.kind));
    wire.set_placement(order.placement);
    wire.set_step(order.step);
    wire.set_epoch(order.epoch);
    wire.set_fence(order.fence);
    if (order.contents)
        wire.set_contents(packPlacement(*order.contents));
    return wire;
}

map_order fromWire(const gateway::rank_order& wire)
{
    map_order order;
    order.kind = static_cast<map_order_kind>(wire.kind());
    order.placement = wire.placement();
    order.step = wire.step();
    order.epoch = wire.epoch();
    order.fence = wire.fence();
    if (auto contents = unpackPlacement(wire.contents()))
        order.contents = std::make_shared<const group_placement>(std::move(*contents));
    return order;
}

void addTargets(gateway::group_call& call, const std::vector<call_target>& targets)
{
    for (const auto& target : targets) {
        const auto endpoint = parseEndpoint(target.address);
        if (!endpoint)
            continue;
        auto* added = call.add_targets();
        added->set_index(target.index);
        added->set_host(endpoint.value().address().to_v4().to_uint());
        added->set_port(endpoint.value().port());
        // An order names the server it is for; a poll queries whichever server is there.
        if (call.has_order())
            added->set_backend_id(target.backendId);
        added->set_placement(target.placement);
        added->set_trust(static_cast<std::uint32_t>(target.reachability));
    }
}

std::vector<call_target> targetsOf(const gateway::group_call& call)
{
    std::vector<call_target> targets;
    for (const auto& wire : call.targets()) {
        const std::string host = boost::asio::ip::address_v4(wire.host()).to_string();
        const auto trust = std::min(static_cast<agent_reachability>(wire.trust()), agent_reachability::unreachable);
        targets.push_back({ wire.index(), wire.backend_id(), host + ":" + std::to_string(wire.port()), wire.placement(), trust });
    }
    return targets;
}

} // namespace rampgap
