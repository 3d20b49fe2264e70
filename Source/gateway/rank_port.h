// One rank of an expert group as its engine shows it, and the orders it takes;
// implemented by the adapter.
#pragma once

#include "daemon/http_message.h"
#include "policy/rank_types.h"

namespace rampgap {

class rank_port {
public:
    virtual ~rank_port() = default;

    // State of the engine at "host:port".
    virtual awaitable<result<rank_view>> state(std::string address) = 0;
    // Choices of experts since the rank started, layer set by layer set.
    virtual awaitable<result<expert_counts>> counts(std::string address) = 0;
    // The experts that the rank holds of the placement in use.
    virtual awaitable<result<rank_experts>> experts(std::string address) = 0;
    virtual awaitable<order_reply> order(std::string address, std::string backendId, map_order) = 0;
    // What an engine answers at once, whatever its load, while its process works.
    virtual http_request makePing() const = 0;
};

} // namespace rampgap
