// Placements as bytes: a leader sends the whole of one to each rank over its machine's narrow
// link, so that each byte delays the change.
#pragma once

#include "policy/rank_types.h"

#include <optional>
#include <string>
#include <string_view>

namespace rampgap {

// Sets, ranks and the width of an expert's number, two bytes each, low byte first; then, set
// by set and rank by rank, how many experts and which.
std::string packPlacement(const group_placement&);
// Nothing if the bytes are not those of a placement.
std::optional<group_placement> unpackPlacement(std::string_view);

} // namespace rampgap
