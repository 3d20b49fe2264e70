#include "gateway/requests/request_wait.h"

#include "daemon/sleep.h"

namespace rampgap {

awaitable<void> waitWhile(process_context& context, http_exchange& exchange, std::function<bool()> missing, instant until, milliseconds pause)
{
    exchange.onCallerGone(nullptr);
    while (missing() && context.now() < until && !exchange.callerGone()) {
        co_await sleepFor(context.io(), pause);
    }
}

} // namespace rampgap
