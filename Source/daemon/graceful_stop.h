// The last step of a planned stop.
#pragma once

#include "daemon/http_server.h"

#include <functional>

namespace rampgap {

// Ends the server's connections after their answers; returns once none is open and `inFlight`
// has come down to 0.
awaitable<void> drainToEnd(process_context&, http_server&, std::function<int()> inFlight);

} // namespace rampgap
