// Position of a reading in the history of the store.
#pragma once

#include <compare>
#include <cstdint>

namespace rampgap {

using store_revision = std::uint64_t;
// Increases by one each time the store is restored from a copy that lacks acknowledged writes; 0 if
// the store does not report it.
using store_epoch = std::uint64_t;

// Ordered by epoch first: a restored store reuses revision numbers, so of two readings the one of
// the later epoch is newer, whatever their revisions are.
struct store_position {
    store_epoch epoch = 0;
    store_revision revision = 0;

    auto operator<=>(const store_position&) const = default;
};

} // namespace rampgap
