// Ranks, orders and placements as messages between agents.
#pragma once

#include "gateway.pb.h"
#include "policy/rank_types.h"

namespace rampgap {

gateway::rank_view toWire(const rank_view&);
rank_view fromWire(const gateway::rank_view&);
gateway::rank_order toWire(const map_order&);
map_order fromWire(const gateway::rank_order&);

} // namespace rampgap
