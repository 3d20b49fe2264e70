// The ledger of ids: one run within an id's lifetime, bounded memory, the right answer for each id.

#include "policy/requests/request_ledger.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

const instant start = instant() + std::chrono::hours(1);
const ledger_limits small { 8, 64, milliseconds(1'000) };

request_id idOf(int number) { return { "w", "s", std::to_string(number) }; }

} // namespace

TEST_CASE("an id runs once within its lifetime and memory stays bounded")
{
    CHECK(rc::check("ledger", [] {
        request_ledger ledger(small);
        instant now = start;
        std::map<int, instant> ranAt;
        const int steps = *rc::gen::inRange(1, 200);
        for (int i = 0; i < steps; ++i) {
            now += milliseconds(*rc::gen::inRange(0, 100));
            const int number = *rc::gen::inRange(0, 16);
            const auto claimed = ledger.claim(idOf(number), 0, now);
            RC_ASSERT(ledger.size() <= small.maxIds);
            RC_ASSERT(ledger.answerBytes() <= small.maxAnswerBytes);
            if (claimed && claimed.value())
                RC_ASSERT(claimed.value()->body == "answer " + std::to_string(number));
            if (!claimed || claimed.value())
                continue;
            const auto before = ranAt.find(number);
            RC_ASSERT(before == ranAt.end() || now - before->second >= small.idLife);
            ranAt[number] = now;
            ledger.finish(idOf(number), { 200, "text/plain", "answer " + std::to_string(number) }, now);
        }
    }));
}

TEST_CASE("what a claim answers in each state")
{
    request_ledger ledger(small);
    CHECK(ledger.claim(idOf(1), 5, start).has_value());
    SUBCASE("running: may have run, come back")
    {
        const auto again = ledger.claim(idOf(1), 5, start);
        CHECK((again.error().ran == verdict::may_have_run));
        CHECK(again.error().retryAfter.has_value());
    }
    SUBCASE("running for longer than its lifetime: not dropped")
    {
        const instant late = start + small.idLife * 3;
        CHECK(ledger.claim(idOf(2), 5, late).has_value());
        CHECK((ledger.claim(idOf(1), 5, late).error().ran == verdict::may_have_run));
    }
    SUBCASE("finished: its own answer")
    {
        ledger.finish(idOf(1), { 200, "text/plain", "done" }, start);
        CHECK(ledger.claim(idOf(1), 5, start).value()->body == "done");
    }
    SUBCASE("finished without an answer: it ran")
    {
        ledger.finishWithoutAnswer(idOf(1), start);
        CHECK((ledger.claim(idOf(1), 5, start).error().ran == verdict::ran));
    }
    SUBCASE("another body under the same id is refused, not answered")
    {
        ledger.finish(idOf(1), { 200, "text/plain", "done" }, start);
        CHECK((ledger.claim(idOf(1), 6, start).error().reason == failure_reason::key_reused));
    }
    SUBCASE("released: free again")
    {
        ledger.release(idOf(1));
        CHECK(ledger.claim(idOf(1), 5, start).has_value());
    }
    SUBCASE("inherited: may have run")
    {
        ledger.inherit({ idOf(2).hash() }, start);
        CHECK((ledger.claim(idOf(2), 5, start).error().ran == verdict::may_have_run));
    }
    SUBCASE("full: refused as not run rather than forgotten")
    {
        for (int i = 2; i <= 8; ++i)
            CHECK(ledger.claim(idOf(i), 5, start).has_value());
        CHECK((ledger.claim(idOf(9), 5, start).error().ran == verdict::not_run));
    }
}
