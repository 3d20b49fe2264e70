// Placements as bytes: one goes to each rank through narrow links, so that each byte delays
// the change.
#pragma once

#include "policy/rank_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace rampgap {

// Sets, ranks and the widths of the numbers below in bits; then, set by set and rank by rank,
// how many experts and which, each in as few bits as the highest one needs. 16 sets of 258
// experts, three places at each of 129 ranks: 7.5 KB, half of what two bytes an expert take.
std::string packPlacement(const group_placement&);
// Nothing if the bytes are not those of a placement.
std::optional<group_placement> unpackPlacement(std::string_view);

} // namespace rampgap
