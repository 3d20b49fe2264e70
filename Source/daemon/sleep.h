// Coroutine sleeps on the clock that keeps running while the VM is suspended.
#pragma once

#include "daemon/http_message.h"

#include <boost/asio/io_context.hpp>

namespace rampgap {

awaitable<void> sleepFor(boost::asio::io_context&, duration);
awaitable<void> sleepUntil(boost::asio::io_context&, instant);

} // namespace rampgap
