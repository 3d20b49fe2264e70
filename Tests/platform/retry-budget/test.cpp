// The retry budget of a fleet holds by arithmetic, also over restarts.
#include "policy/shared_retry_budget.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

constexpr retry_bounds bounds { 0.2, 90, milliseconds(10'000), 0.8 };
const instant zero {};

int takeAll(shared_retry_budget& budget, instant now)
{
    int taken = 0;
    while (budget.take("model", now))
        ++taken;
    return taken;
}

} // namespace

TEST_CASE("a fleet whose processes are all restarted stays within one allowance")
{
    const std::size_t entries = 7;
    double tries = 0;
    for (std::size_t i = 0; i < entries; ++i) {
        shared_retry_budget before(bounds, zero);
        before.setSharers(entries);
        tries += takeAll(before, zero + milliseconds(11'000));
        shared_retry_budget after(bounds, zero + milliseconds(12'000));
        // A process that has just started knows of no other yet.
        after.setSharers(1);
        tries += takeAll(after, zero + milliseconds(13'000));
    }
    CHECK(tries <= bounds.allowance);
    CHECK(tries > 0);
}

TEST_CASE("no window has more tries than the share of its requests and of the allowance")
{
    CHECK(rc::check([] {
        const auto sharers = *rc::gen::inRange<std::size_t>(1, 40);
        shared_retry_budget budget(bounds, zero - bounds.window);
        budget.setSharers(sharers);
        std::vector<instant> requests;
        std::vector<instant> tries;
        instant now = zero;
        for (const auto gap : *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 200))) {
            now += milliseconds(gap);
            budget.noteRequest("model", now);
            requests.push_back(now);
            if (budget.take("model", now))
                tries.push_back(now);
        }
        const auto countFrom = [&](const std::vector<instant>& times, instant end) {
            return std::count_if(times.begin(), times.end(), [&](instant at) { return at > end - bounds.window && at <= end; });
        };
        for (const instant end : tries) {
            const double limit = bounds.ratio * static_cast<double>(countFrom(requests, end) + 1) + bounds.allowance / static_cast<double>(sharers);
            RC_ASSERT(static_cast<double>(countFrom(tries, end)) <= limit);
        }
    }));
}
