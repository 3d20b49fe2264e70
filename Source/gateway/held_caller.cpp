#include "gateway/held_caller.h"

#include "daemon/boot_timer.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;

awaitable<void> holdCaller(process_context& context, http_exchange& exchange, std::function<bool()> missing, instant until, milliseconds pause)
{
    exchange.onCallerGone(nullptr);
    while (missing() && context.now() < until && !exchange.callerGone()) {
        boot_timer timer(context.io(), pause);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace rampgap
