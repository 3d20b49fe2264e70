// The processes of a fleet together stay within its retry budget without messages, also after restarts.
#include "policy/requests/shared_retry_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

constexpr retry_bounds bounds { 0.2, 90, milliseconds(10'000), 0.8 };
const instant zero {};

int consumeAll(shared_retry_budget& budget, instant now)
{
    int taken = 0;
    while (budget.tryConsume("model", now))
        ++taken;
    return taken;
}

} // namespace

TEST_CASE("a fleet whose processes are all restarted stays within one allowance")
{
    const std::size_t entries = 7;
    double retries = 0;
    for (std::size_t i = 0; i < entries; ++i) {
        shared_retry_budget before(bounds, zero);
        before.setSharingProcesses(entries);
        retries += consumeAll(before, zero + milliseconds(11'000));
        shared_retry_budget after(bounds, zero + milliseconds(12'000));
        // A process that has just started knows no other yet.
        after.setSharingProcesses(1);
        retries += consumeAll(after, zero + milliseconds(13'000));
    }
    CHECK(retries <= bounds.allowance);
    CHECK(retries > 0);
}

TEST_CASE("no window has more retries than its fraction of the requests plus the share of the allowance")
{
    CHECK(rc::check([] {
        const auto sharers = *rc::gen::inRange<std::size_t>(1, 40);
        shared_retry_budget budget(bounds, zero - bounds.window);
        budget.setSharingProcesses(sharers);
        std::vector<instant> requests;
        std::vector<instant> retries;
        instant now = zero;
        for (const auto gap : *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 200))) {
            now += milliseconds(gap);
            budget.recordRequest("model", now);
            requests.push_back(now);
            if (budget.tryConsume("model", now))
                retries.push_back(now);
        }
        const auto countFrom = [&](const std::vector<instant>& times, instant end) {
            return std::count_if(times.begin(), times.end(), [&](instant at) { return at > end - bounds.window && at <= end; });
        };
        for (const instant end : retries) {
            const double limit = bounds.ratio * static_cast<double>(countFrom(requests, end) + 1) + bounds.allowance / static_cast<double>(sharers);
            RC_ASSERT(static_cast<double>(countFrom(retries, end)) <= limit);
        }
    }));
}
