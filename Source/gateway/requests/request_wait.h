// Keeps a request waiting while something that it needs is missing.
#pragma once

#include "daemon/http_server.h"
#include "daemon/process_context.h"

#include <functional>

namespace rampgap {

// Returns once `missing` is false, at `until`, or when the caller has disconnected; checks every
// `pause`.
awaitable<void> waitWhile(process_context&, http_exchange&, std::function<bool()> missing, instant until, milliseconds pause);

} // namespace rampgap
