// One item of the users' metadata store.
#pragma once

#include "policy/configuration/store_position.h"

#include <map>
#include <string>

namespace rampgap {

struct published_item {
    std::string key;
    std::string value;
    // Store revisions of the last change and of the creation.
    store_revision revision = 0;
    store_revision created = 0;

    bool operator==(const published_item&) const = default;
};

using items_by_key = std::map<std::string, published_item>;

} // namespace rampgap
