// Converts rank states, orders and call targets to and from messages between agents.
#pragma once

#include "gateway.pb.h"
#include "policy/groups/call_tree.h"
#include "policy/groups/rank_types.h"

namespace rampgap {

gateway::rank_view toWire(const rank_view&);
rank_view fromWire(const gateway::rank_view&);
gateway::rank_order toWire(const map_order&);
map_order fromWire(const gateway::rank_order&);

// To be called after the call's order is set, if it has one.
void addTargets(gateway::group_call&, const std::vector<call_target>&);
std::vector<call_target> targetsOf(const gateway::group_call&);

} // namespace rampgap
