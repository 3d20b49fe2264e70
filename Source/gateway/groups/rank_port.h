// Access to the engine of one rank of an expert group: its state and the orders it accepts;
// implemented by a platform's adapter.
#pragma once

#include "daemon/http_message.h"
#include "policy/groups/rank_types.h"

namespace rampgap {

// An engine's answer to an order, and a state of the engine that was read after it.
struct order_answer {
    order_reply reply = order_reply::unanswered;
    std::optional<rank_view> after;
};

class rank_port {
public:
    virtual ~rank_port() = default;

    // State of the engine at "host:port".
    virtual awaitable<result<rank_view>> state(std::string address) = 0;
    // How often each expert was chosen since the rank started, per layer set.
    virtual awaitable<result<expert_counts>> counts(std::string address) = 0;
    // The experts of the placement in use that the rank holds.
    virtual awaitable<result<rank_experts>> experts(std::string address) = 0;
    // Sends an order, and then a query of the engine's state over the same connection. An engine answers in the order of the
    // requests. If it has sent an earlier answer twice, the copy comes in place of the order's answer, and that one in place of the
    // state: then the reply is `unanswered`, without a state.
    virtual awaitable<order_answer> order(std::string address, std::string backendId, map_order) = 0;
    // A request that only shows whether the engine's process works: it takes no request slot, so a loaded engine answers it, too.
    virtual http_request makeProbe() const = 0;
};

} // namespace rampgap
