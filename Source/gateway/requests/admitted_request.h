// A request that passed all admission checks.
#pragma once

#include "gateway/requests/request_codec.h"
#include "policy/configuration/fleet_configuration.h"

#include <optional>
#include <string>

namespace rampgap {

struct admitted_request {
    gateway_request parsed;
    route_spec route;
    std::string service;
    std::string workspace;
    // 0 is the most urgent.
    int priority = 0;
    // The priority is sent to the server: requests of others may compete there.
    bool sendsPriority = false;
    instant receivedAt;
    // The earlier of the caller's own deadline and the route's timeout.
    instant deadline;
    // Published costs of the service's engines; empty for plain services.
    std::optional<engine_costs> costs;

    milliseconds timeLeft(instant now) const { return std::chrono::duration_cast<milliseconds>(deadline - now); }
    milliseconds waited(instant now) const { return std::chrono::duration_cast<milliseconds>(now - receivedAt); }
    // False if the caller's remaining time shows that it was refused before and is retrying.
    bool isFirstAttempt() const;
};

} // namespace rampgap
