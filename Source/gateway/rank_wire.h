// Ranks, orders and placements as messages between agents.
#pragma once

#include "gateway.pb.h"
#include "policy/rank_types.h"

namespace rampgap {

gateway::rank_view toWire(const rank_view&);
rank_view fromWire(const gateway::rank_view&);
gateway::rank_order toWire(const map_order&);
// Leaves the contents out of a preparation and names what differs from `base` instead.
gateway::rank_order toWire(const map_order&, const numbered_placement& base);
// Contents that differ from a base are completed from it; it may be null otherwise.
map_order fromWire(const gateway::rank_order&, const group_placement* base);

} // namespace rampgap
