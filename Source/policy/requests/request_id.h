// The identity of a request that may run at most once.
#pragma once

#include "policy/common/digest.h"

#include <string>

namespace rampgap {

// Scoped by workspace and service, so that ids of different callers cannot collide.
struct request_id {
    std::string workspace;
    std::string service;
    std::string key;

    // The text that placement and deduplication hash.
    std::string text() const { return workspace + '\n' + service + '\n' + key; }
    std::uint64_t hash() const { return hash64(text()); }
    bool operator==(const request_id&) const = default;
};

} // namespace rampgap
