// The signals that ask a daemon to stop.
#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

namespace rampgap {

// Has the stop signals wait until they are asked for; to be called before the first thread starts.
void blockStopSignals();

// True once a stop signal has been sent that `onStopSignal` has not told of yet.
bool isStopSignalPending();

// Calls `action` on the process's thread at the first SIGTERM or SIGINT.
void onStopSignal(boost::asio::io_context&, std::function<void()> action);

} // namespace rampgap
