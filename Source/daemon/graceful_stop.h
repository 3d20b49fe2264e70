// The last step of a planned stop.
#pragma once

#include "daemon/http_server.h"

#include <functional>

namespace rampgap {

// Closes each connection of the server after its answer. Returns once none is open and `inFlight`
// returns 0.
awaitable<void> drainConnections(process_context&, http_server&, std::function<int()> inFlight);

} // namespace rampgap
