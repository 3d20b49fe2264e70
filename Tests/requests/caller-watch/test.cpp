// The action for a caller that goes away ends with the call that it cancels.
#include "daemon/caller_watch.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

// Keeps the action, as an exchange does whose caller may go away at any time.
class kept_exchange : public http_exchange {
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

    void loseCaller()
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

TEST_CASE("while a call lasts its caller's going cancels it, afterwards it does nothing")
{
    kept_exchange exchange;
    int cancelled = 0;
    {
        const caller_watch watch(exchange, [&cancelled] { ++cancelled; });
        REQUIRE(exchange.watched());
        exchange.loseCaller();
        CHECK(cancelled == 1);
    }
    {
        const caller_watch watch(exchange, [&cancelled] { ++cancelled; });
    }
    CHECK_FALSE(exchange.watched());
    exchange.loseCaller();
    CHECK(cancelled == 1);
}

TEST_CASE("a call that ends by an early return leaves no action behind")
{
    kept_exchange exchange;
    const auto failing = [&exchange] {
        const caller_watch watch(exchange, [] {});
        return false;
    };
    CHECK_FALSE(failing());
    CHECK_FALSE(exchange.watched());
}
