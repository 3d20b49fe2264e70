// Waits of coroutines, by the clock that goes on while the VM is suspended.
#pragma once

#include "daemon/http_message.h"

#include <boost/asio/io_context.hpp>

namespace rampgap {

awaitable<void> sleepFor(boost::asio::io_context&, duration);
awaitable<void> sleepUntil(boost::asio::io_context&, instant);

} // namespace rampgap
