#include "daemon/graceful_stop.h"

#include "daemon/sleep.h"

namespace rampgap {

namespace {

    constexpr milliseconds drainPoll { 10 };

} // namespace

awaitable<void> drainConnections(process_context& context, http_server& server, std::function<int()> inFlight, std::optional<http_response> notice)
{
    server.drain(std::move(notice));
    while (inFlight() > 0 || server.openConnections() > 0) {
        co_await sleepFor(context.io(), drainPoll);
    }
}

} // namespace rampgap
