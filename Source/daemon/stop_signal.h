// The signals that ask a daemon to stop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

namespace rampgap {

// Blocks SIGTERM and SIGINT so that they stay pending until `onStopSignal` reads them. To be called
// before the first thread starts.
void blockStopSignals();

// True if a stop signal has been sent that `onStopSignal` has not read yet.
bool isStopSignalPending();

// Calls `action` on the process's thread at the first SIGTERM or SIGINT.
void onStopSignal(boost::asio::io_context&, std::function<void()> action);

} // namespace rampgap
