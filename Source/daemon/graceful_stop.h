// The last step of a planned stop.
#pragma once

#include "daemon/http_server.h"

#include <functional>

namespace rampgap {

// Closes each connection of the server after its answer, an idle one after the notice, if there is one (`http_server::drain`).
// Returns once none is open and `inFlight` returns 0.
awaitable<void> drainConnections(process_context&, http_server&, std::function<int()> inFlight, std::optional<http_response> notice);

} // namespace rampgap
