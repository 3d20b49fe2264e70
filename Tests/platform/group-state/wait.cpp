// Guards against callers that lose their answer while an expert group is closed: refused too early,
// kept beyond their patience, or told to retry when they cannot be served any more.
#include "policy/groups/group_wait.h"
#include "policy/requests/delay_estimate.h"

#include <deque>
#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

// A caller that makes two attempts while the group is closed, and complies with the retry delay.
struct caller {
    milliseconds deadline { 8'000 };
    milliseconds patience { 2'400 };
    milliseconds run { 1'200 };
};

// True if a group that opens so long after the first attempt can complete the caller's answer.
bool isServed(const caller& waiting, milliseconds opensAfter)
{
    milliseconds at { 0 };
    for (int attempt = 0; attempt < 2; ++attempt) {
        group_wait_input input;
        input.timeLeft = waiting.deadline - at;
        input.patience = waiting.patience;
        input.run = waiting.run;
        input.closedFor = at;
        const auto decision = decideGroupWait(input);
        if (opensAfter <= at + decision.wait)
            return std::max(at, opensAfter) + waiting.run <= waiting.deadline;
        at += decision.wait + decision.retryAfter;
    }
    return false;
}

// What callers of a closure and of the seconds after it get.
struct closure_result {
    int onTime = 0;
    int late = 0;
};

// A closure of 5.5 s under a steady load of 0.75; after the opening requests start in the order in which they came. A caller
// counts as on time if its first event comes within 0.4 s of the attempt that is served, unless it was held before that.
closure_result playClosure(bool mayReturn)
{
    constexpr milliseconds opens { 5'500 };
    constexpr milliseconds patience { 2'000 };
    constexpr milliseconds firstEvent { 200 };
    constexpr milliseconds target { 400 };
    constexpr milliseconds run { 1'800 };
    constexpr std::size_t slots = 600;
    struct attempt {
        milliseconds at;
        bool first = true;
        bool wasHeld = false;
    };
    closure_result result;
    std::multimap<milliseconds, attempt> due;
    for (milliseconds at { 0 }; at < milliseconds(9'000); at += milliseconds(4))
        due.emplace(at, attempt { at });
    std::deque<attempt> waiting;
    std::multimap<milliseconds, int> running;
    for (milliseconds now { 0 }; now < milliseconds(16'000); now += milliseconds(4)) {
        for (; !due.empty() && due.begin()->first <= now; due.erase(due.begin()))
            waiting.push_back(due.begin()->second);
        running.erase(running.begin(), running.upper_bound(now));
        for (std::size_t left = waiting.size(); left > 0; --left) {
            const attempt next = waiting.front();
            waiting.pop_front();
            group_wait_input input { next.first ? milliseconds(8'000) : milliseconds(5'300), patience, now - next.at, run, firstEvent, now };
            input.mayReturn = mayReturn && next.first;
            if (now < opens && decideGroupWait(input).wait == milliseconds(0)) {
                if (next.first)
                    due.emplace(now + decideGroupWait(input).retryAfter, attempt { now + decideGroupWait(input).retryAfter, false, now > next.at });
            } else if (now >= opens && running.size() < slots) {
                const milliseconds waited = now - next.at;
                running.emplace(now + run, 0);
                result.onTime += waited + firstEvent <= target && !next.wasHeld ? 1 : 0;
                result.late += waited + firstEvent <= target && !next.wasHeld ? 0 : 1;
            } else if (now - next.at + firstEvent < patience) {
                waiting.push_back(next);
            }
        }
    }
    return result;
}

} // namespace

TEST_CASE("callers of a closed group that are told at once to come back are on time more often, and not served less")
{
    const closure_result held = playClosure(false);
    const closure_result told = playClosure(true);
    INFO(held.onTime << " on time and " << held.late << " late when held, " << told.onTime << " and " << told.late << " when told at once");
    CHECK(told.onTime > 1.2 * held.onTime);
    CHECK(told.onTime + told.late >= 0.97 * (held.onTime + held.late));
}

TEST_CASE("a closure that has just begun may be brief, and who was refused before is held through it")
{
    group_wait_input input { milliseconds(8'000), milliseconds(2'000), milliseconds(0), milliseconds(1'500), milliseconds(0), milliseconds(100), true };
    CHECK(decideGroupWait(input).wait == milliseconds(200));
    input.closedFor = milliseconds(400);
    CHECK((decideGroupWait(input) == group_wait_decision { milliseconds(0), milliseconds(2'666) }));
    input.mayReturn = false;
    CHECK(decideGroupWait(input).wait > milliseconds(1'500));
}

TEST_CASE("a closure of any length up to 6.4 s costs no caller its answer")
{
    for (milliseconds opens { 0 }; opens <= milliseconds(6'400); opens += milliseconds(50))
        CHECK(isServed({}, opens));
    CHECK_FALSE(isServed({}, milliseconds(7'000)));
}

TEST_CASE("closures cost no answer for callers with other patience, deadlines and answer times")
{
    for (milliseconds opens { 0 }; opens <= milliseconds(5'600); opens += milliseconds(50))
        CHECK(isServed({ milliseconds(8'000), milliseconds(2'000), milliseconds(900) }, opens));
    for (milliseconds opens { 0 }; opens <= milliseconds(2'700); opens += milliseconds(50))
        CHECK(isServed({ milliseconds(3'000), milliseconds(2'000), milliseconds(250) }, opens));
}

// Guards against retrying callers that are refused at once in a closure of six seconds. Answers have 2
// to 38 events with a pass of 115 ms each: the mean plus two deviations is 4 s, too long an estimate of
// the run time.
TEST_CASE("with answers of varying length a retrying caller still gets its second wait")
{
    delay_estimate run(milliseconds(1'500));
    for (const int events : { 8, 14, 5, 38, 20, 2, 16, 11, 25, 6, 30, 13, 9, 17, 4 })
        run.observe(milliseconds(115 * events));
    CHECK(run.value() > milliseconds(3'000));
    for (milliseconds opens { 0 }; opens <= milliseconds(6'000); opens += milliseconds(50))
        CHECK(isServed({ milliseconds(8'000), milliseconds(2'400), run.mean() }, opens));
    CHECK_FALSE(isServed({ milliseconds(8'000), milliseconds(2'400), run.value() }, milliseconds(6'000)));
}

TEST_CASE("a caller that can no longer get a complete answer is refused at once")
{
    group_wait_input input;
    input.timeLeft = milliseconds(1'100);
    input.run = milliseconds(1'200);
    CHECK(decideGroupWait(input).wait == milliseconds(0));
    input.timeLeft = milliseconds(1'500);
    CHECK(decideGroupWait(input).wait == milliseconds(300));
}

TEST_CASE("time that a caller spent at a server that refused counts against its patience")
{
    group_wait_input input;
    input.timeLeft = milliseconds(6'500);
    input.waited = milliseconds(1'500);
    CHECK(decideGroupWait(input).wait == milliseconds(380));
    input.waited = milliseconds(1'950);
    CHECK(decideGroupWait(input).wait == milliseconds(0));
}

TEST_CASE("the longest retry delay is a third of the time that is left")
{
    CHECK(longestRetryPause(milliseconds(7'500)) == milliseconds(2'500));
    CHECK(longestRetryPause(milliseconds(-1)) == milliseconds(0));
}

TEST_CASE("no caller waits beyond its patience or deadline, or gets a retry delay that it would not comply with")
{
    CHECK(rc::check([] {
        group_wait_input input;
        input.timeLeft = milliseconds(*rc::gen::inRange(0, 10'000));
        input.waited = milliseconds(*rc::gen::inRange(0, 3'000));
        input.run = milliseconds(*rc::gen::inRange(0, 3'000));
        const auto decision = decideGroupWait(input);
        RC_ASSERT(decision.wait >= milliseconds(0));
        RC_ASSERT(decision.wait + input.waited < input.patience || decision.wait == milliseconds(0));
        RC_ASSERT(decision.wait <= input.timeLeft);
        RC_ASSERT(decision.retryAfter <= (input.timeLeft - decision.wait) / 3 + milliseconds(1));
    }));
}

TEST_CASE("a caller that arrives when a group has been closed for long is refused at once with a retry delay")
{
    group_wait_input input;
    input.timeLeft = milliseconds(8'000);
    input.run = milliseconds(1'500);
    input.closedFor = milliseconds(6'000);
    CHECK(decideGroupWait(input).wait > milliseconds(0));
    // The retry delay is no longer than the caller complies with, and ends while it can still be served.
    input.closedFor = milliseconds(15'000);
    CHECK((decideGroupWait(input) == group_wait_decision { milliseconds(0), milliseconds(2'666) }));
    input.timeLeft = milliseconds(1'600);
    CHECK((decideGroupWait(input) == group_wait_decision { milliseconds(0), milliseconds(100) }));
}
