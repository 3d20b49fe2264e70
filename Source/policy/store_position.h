// Where a reading stands in the history of the store that it is of.
#pragma once

#include <compare>
#include <cstdint>

namespace rampgap {

using store_revision = std::uint64_t;
// Rises by one each time the store comes back from a copy that lacks what it had acknowledged
// since; 0 where the store does not tell.
using store_epoch = std::uint64_t;

// Ordered by epoch first: a restored store gives out its revisions again, and of two readings
// the one of the later epoch is the newer, whatever their revisions are.
struct store_position {
    store_epoch epoch = 0;
    store_revision revision = 0;

    auto operator<=>(const store_position&) const = default;
};

} // namespace rampgap
