// The order of the versions of an item by what they say themselves. Revisions do not give it
// where the store was restored from an older copy.
#pragma once

#include "policy/published_item.h"

#include <optional>

namespace rampgap {

// Stages of one life; none goes back to an earlier one.
enum class item_stage { current,
    leaving,
    removed };

struct item_rank {
    // Version of a configuration, or start of a server's process: what has a higher one is later.
    std::uint64_t life = 0;
    item_stage stage = item_stage::current;

    auto operator<=>(const item_rank&) const = default;
};

class item_order {
public:
    virtual ~item_order() = default;

    // Empty for an item that cannot be read or has no order: anything outranks it.
    virtual std::optional<item_rank> rank(const published_item&) const = 0;
    // True if the item holds on where the store shows nothing under its key.
    virtual bool holdsUnlisted(const published_item&) const = 0;
};

} // namespace rampgap
