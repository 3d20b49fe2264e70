#include "daemon/task.h"

#include "daemon/sleep.h"
#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    // Before a loop begins again; doubled each time, up to the longest pause, while it soon ends again.
    constexpr milliseconds firstRestartPause { 50 };
    constexpr milliseconds longestRestartPause { 2'000 };

    awaitable<void> runOnce(process_context& context, std::string name, awaitable<void> work)
    {
        const auto reason = co_await runGuarded(std::move(work));
        if (reason)
            context.reportException(name, *reason);
    }

    awaitable<void> runAgain(process_context& context, std::string name, std::function<awaitable<void>()> loop)
    {
        milliseconds pause = firstRestartPause;
        for (;;) {
            const instant began = context.now();
            const auto reason = co_await runGuarded(loop());
            if (!reason)
                co_return;
            context.reportException(name, *reason);
            if (context.now() - began > longestRestartPause)
                pause = firstRestartPause;
            co_await sleepFor(context.io(), pause);
            pause = std::min(2 * pause, longestRestartPause);
        }
    }

} // namespace

awaitable<std::optional<std::string>> runGuarded(awaitable<void> work)
{
    try {
        co_await std::move(work);
    } catch (const std::exception& error) {
        co_return std::string(error.what());
    } catch (...) {
        co_return std::string("an exception of an unknown type");
    }
    co_return std::nullopt;
}

void startTask(process_context& context, std::string name, awaitable<void> work)
{
    asio::co_spawn(context.io(), runOnce(context, std::move(name), std::move(work)), asio::detached);
}

void startLoop(process_context& context, std::string name, std::function<awaitable<void>()> loop)
{
    asio::co_spawn(context.io(), runAgain(context, std::move(name), std::move(loop)), asio::detached);
}

} // namespace rampgap
