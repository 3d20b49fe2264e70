#include "daemon/graceful_stop.h"

#include "daemon/boot_timer.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace {

    constexpr milliseconds drainPoll { 10 };

} // namespace

awaitable<void> drainToEnd(process_context& context, http_server& server, std::function<int()> inFlight)
{
    server.drain();
    while (inFlight() > 0 || server.openConnections() > 0) {
        boot_timer timer(context.io(), drainPoll);
        co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
    }
}

} // namespace rampgap
