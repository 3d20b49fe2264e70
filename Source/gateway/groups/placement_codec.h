// Encodes placements compactly: one is sent to each rank through narrow links, so every byte delays
// the change.
#pragma once

#include "policy/groups/rank_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace rampgap {

// Format: number of layer sets, number of ranks and the bit widths of the following numbers; then for
// each set and rank the number of experts and their ids, each in as few bits as the highest one needs.
// 16 sets of 258 experts with three expert slots at each of 129 ranks take 7.5 KB, half of what two
// bytes per expert take.
std::string packPlacement(const group_placement&);
// Empty if the bytes are not a packed placement.
std::optional<group_placement> unpackPlacement(std::string_view);

} // namespace rampgap
