#include "daemon/sleep.h"

#include "daemon/boot_timer.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

awaitable<void> sleepFor(boost::asio::io_context& io, duration length)
{
    boot_timer timer(io, length);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

awaitable<void> sleepUntil(boost::asio::io_context& io, instant end)
{
    boot_timer timer(io, end);
    co_await timer.async_wait(boost::asio::as_tuple(boost::asio::use_awaitable));
}

} // namespace rampgap
