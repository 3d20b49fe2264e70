// One request that passed all checks.
#pragma once

#include "gateway/request_codec.h"
#include "policy/fleet_configuration.h"

#include <optional>
#include <string>

namespace rampgap {

struct admitted_request {
    gateway_request said;
    route_spec route;
    std::string service;
    std::string workspace;
    int priority = 0;
    instant receivedAt;
    // The caller's own limit and the route's, whichever comes first.
    instant deadline;
    // Published costs of the service's engines; empty for plain services.
    std::optional<engine_costs> costs;

    milliseconds timeLeft(instant now) const { return std::chrono::duration_cast<milliseconds>(deadline - now); }
    milliseconds waited(instant now) const { return std::chrono::duration_cast<milliseconds>(now - receivedAt); }
    // The caller has not been refused before, as far as its time tells.
    bool isFirstTime() const;
};

} // namespace rampgap
