// Chooses the backend server for a request that may run on any server of its pool.
#pragma once

#include "policy/routing/backend_table.h"

#include <array>
#include <memory>
#include <random>
#include <span>
#include <string_view>

namespace rampgap {

// Parameters of one decision. `tried` lists backends that must not be chosen again.
struct routing_input {
    const std::string& service;
    // Hash of the prompt's prefix, 0 if it has none.
    std::uint64_t prefix = 0;
    std::span<const backend_id> tried;
    instant now;
};

class routing_policy {
public:
    virtual ~routing_policy() = default;

    // The backend to use, or `noBackend` if none is left. Allocates nothing.
    virtual backend_id choose(const routing_input&, const backend_table&, std::mt19937_64&) = 0;
    // The request was sent to the chosen backend, whose engine now caches the prefix.
    virtual void recordPlacement(std::uint64_t prefix, backend_id, instant now);

    // "scored", "round_robin", "least_outstanding", "random_two" or "prefix_affinity".
    static result<std::unique_ptr<routing_policy>> make(std::string_view name);
};

} // namespace rampgap
