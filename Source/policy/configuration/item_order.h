// Order of the versions of an item by their own content. Store revisions do not give this order
// once the store was restored from an older copy.
#pragma once

#include "policy/configuration/published_item.h"

#include <optional>

namespace rampgap {

// Stages of one generation of an item, in the order in which it passes through them.
enum class item_stage { current,
    leaving,
    removed };

struct item_rank {
    // Version of a configuration, or start of a server's process; a higher one is later.
    std::uint64_t generation = 0;
    item_stage stage = item_stage::current;

    auto operator<=>(const item_rank&) const = default;
};

class item_order {
public:
    virtual ~item_order() = default;

    // Empty for an item that cannot be parsed or has no order: every ranked item outranks it.
    virtual std::optional<item_rank> rank(const published_item&) const = 0;
    // True if the item stays in force while the store lists nothing under its key.
    virtual bool staysInForceUnlisted(const published_item&) const = 0;
    // True if the removal of the item revokes what it says.
    virtual bool endsByRemoval(const published_item&) const = 0;
};

} // namespace rampgap
