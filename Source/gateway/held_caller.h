// Holds a request while what it needs is not there.
#pragma once

#include "daemon/http_server.h"
#include "daemon/process_context.h"

#include <functional>

namespace rampgap {

// Returns once `missing` is false, at `until`, or when the caller has gone; looks each `pause`.
awaitable<void> holdCaller(process_context&, http_exchange&, std::function<bool()> missing, instant until, milliseconds pause);

} // namespace rampgap
