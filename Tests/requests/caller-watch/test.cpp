// Fault: the action for a disconnected caller outlives the call that it cancels, and accesses freed memory.
#include "daemon/caller_watch.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

// Holds the action, as an exchange does until its caller disconnects.
class fake_exchange : public http_exchange {
public:
    const http_request& request() const override { return m_request; }
    instant receivedAt() const override { return {}; }
    awaitable<bool> send(http_response) override { co_return true; }
    awaitable<bool> begin(http_head) override { co_return true; }
    awaitable<bool> write(std::string_view) override { co_return true; }
    awaitable<bool> finish() override { co_return true; }
    void closeAfterAnswer() override { }
    void abort() override { }
    bool begun() const override { return false; }
    bool callerGone() const override { return false; }
    void onCallerGone(std::function<void()> action) override { m_onGone = std::move(action); }

    void disconnectCaller()
    {
        if (const auto action = std::exchange(m_onGone, nullptr))
            action();
    }
    bool watched() const { return static_cast<bool>(m_onGone); }

private:
    http_request m_request;
    std::function<void()> m_onGone;
};

} // namespace

TEST_CASE("a caller that disconnects cancels its call, and does nothing once the call has ended")
{
    fake_exchange exchange;
    int cancelled = 0;
    {
        const caller_watch watch(exchange, [&cancelled] { ++cancelled; });
        REQUIRE(exchange.watched());
        exchange.disconnectCaller();
        CHECK(cancelled == 1);
    }
    {
        const caller_watch watch(exchange, [&cancelled] { ++cancelled; });
    }
    CHECK_FALSE(exchange.watched());
    exchange.disconnectCaller();
    CHECK(cancelled == 1);
}

TEST_CASE("a call that ends by an early return leaves no action behind")
{
    fake_exchange exchange;
    const auto returnEarly = [&exchange] {
        const caller_watch watch(exchange, [] {});
        return false;
    };
    CHECK_FALSE(returnEarly());
    CHECK_FALSE(exchange.watched());
}
