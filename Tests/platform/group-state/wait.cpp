// Requests whose expert group is closed.
#include "policy/delay_estimate.h"
#include "policy/group_wait.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

// The two tries of one caller, who keeps to the pause that it is told, in a closure.
struct caller {
    milliseconds deadline { 8'000 };
    milliseconds patience { 2'400 };
    milliseconds run { 1'200 };
};

// Whether a group that opens so long after the first try serves the caller to the end, and
// whether it was held in vain for longer than it waits anyway.
bool isServed(const caller& who, milliseconds opensAfter)
{
    milliseconds at { 0 };
    for (int attempt = 0; attempt < 2; ++attempt) {
        group_wait_question question;
        question.timeLeft = who.deadline - at;
        question.patience = who.patience;
        question.run = who.run;
        question.closedFor = at;
        const auto decision = decideGroupWait(question);
        if (opensAfter <= at + decision.wait)
            return std::max(at, opensAfter) + who.run <= who.deadline;
        at += decision.wait + decision.retryAfter;
    }
    return false;
}

} // namespace

TEST_CASE("a closure of any length up to 6.4 s costs no caller its answer")
{
    for (milliseconds opens { 0 }; opens <= milliseconds(6'400); opens += milliseconds(50))
        CHECK(isServed({}, opens));
    CHECK_FALSE(isServed({}, milliseconds(7'000)));
}

TEST_CASE("the same for callers with other patience, deadlines and answers")
{
    for (milliseconds opens { 0 }; opens <= milliseconds(5'600); opens += milliseconds(50))
        CHECK(isServed({ milliseconds(8'000), milliseconds(2'000), milliseconds(900) }, opens));
    for (milliseconds opens { 0 }; opens <= milliseconds(2'700); opens += milliseconds(50))
        CHECK(isServed({ milliseconds(3'000), milliseconds(2'000), milliseconds(250) }, opens));
}

// Answers of 2 to 38 events, a pass of 115 ms each, in turn. By mean and two deviations they take
// 4 s, and each caller that comes back in a closure of six seconds was refused at once.
TEST_CASE("answers of unlike lengths leave a caller that comes back its second wait")
{
    delay_estimate run(milliseconds(1'500));
    for (const int events : { 8, 14, 5, 38, 20, 2, 16, 11, 25, 6, 30, 13, 9, 17, 4 })
        run.observe(milliseconds(115 * events));
    CHECK(run.value() > milliseconds(3'000));
    for (milliseconds opens { 0 }; opens <= milliseconds(6'000); opens += milliseconds(50))
        CHECK(isServed({ milliseconds(8'000), milliseconds(2'400), run.mean() }, opens));
    CHECK_FALSE(isServed({ milliseconds(8'000), milliseconds(2'400), run.value() }, milliseconds(6'000)));
}

TEST_CASE("a caller that cannot be answered to the end any more is refused at once")
{
    group_wait_question question;
    question.timeLeft = milliseconds(1'100);
    question.run = milliseconds(1'200);
    CHECK(decideGroupWait(question).wait == milliseconds(0));
    question.timeLeft = milliseconds(1'500);
    CHECK(decideGroupWait(question).wait == milliseconds(300));
}

TEST_CASE("time that a caller spent at a server that refused counts against its patience")
{
    group_wait_question question;
    question.timeLeft = milliseconds(6'500);
    question.waited = milliseconds(1'500);
    CHECK(decideGroupWait(question).wait == milliseconds(380));
    question.waited = milliseconds(1'950);
    CHECK(decideGroupWait(question).wait == milliseconds(0));
}

TEST_CASE("the longest pause is a third of the time that is left")
{
    CHECK(longestPause(milliseconds(7'500)) == milliseconds(2'500));
    CHECK(longestPause(milliseconds(-1)) == milliseconds(0));
}

TEST_CASE("nobody is kept beyond its patience, its time, or the pause that callers keep to")
{
    CHECK(rc::check([] {
        group_wait_question question;
        question.timeLeft = milliseconds(*rc::gen::inRange(0, 10'000));
        question.waited = milliseconds(*rc::gen::inRange(0, 3'000));
        question.run = milliseconds(*rc::gen::inRange(0, 3'000));
        const auto decision = decideGroupWait(question);
        RC_ASSERT(decision.wait >= milliseconds(0));
        RC_ASSERT(decision.wait + question.waited < question.patience || decision.wait == milliseconds(0));
        RC_ASSERT(decision.wait <= question.timeLeft);
        RC_ASSERT(decision.retryAfter <= (question.timeLeft - decision.wait) / 3 + milliseconds(1));
    }));
}

TEST_CASE("whoever comes when a group has been closed for long is told at once to come back")
{
    group_wait_question question;
    question.timeLeft = milliseconds(8'000);
    question.run = milliseconds(1'500);
    question.closedFor = milliseconds(6'000);
    CHECK(decideGroupWait(question).wait > milliseconds(0));
    // No longer than the longest pause that the caller keeps to, and while it can be served.
    question.closedFor = milliseconds(15'000);
    CHECK((decideGroupWait(question) == group_wait_decision { milliseconds(0), milliseconds(2'666) }));
    question.timeLeft = milliseconds(1'600);
    CHECK((decideGroupWait(question) == group_wait_decision { milliseconds(0), milliseconds(100) }));
}
