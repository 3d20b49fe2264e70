// How long a request waits for a slot and with which priority, and how many slots keep the gaps of streams
// within their target.
#include "policy/groups/pass_model.h"
#include "policy/requests/admission_queue.h"
#include "policy/requests/admission_wait.h"
#include "policy/requests/delay_estimate.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <map>

using namespace rampgap;

namespace {

const instant zero {};
constexpr int timely = 2;
constexpr int late = 3;

admission_wait_input firstCaller()
{
    admission_wait_input question;
    question.latencyTarget = milliseconds(500);
    question.firstEvent = milliseconds(200);
    question.timeLeft = milliseconds(8'000);
    question.patience = milliseconds(2'000);
    return question;
}

engine_costs usualCosts()
{
    engine_costs costs;
    costs.capacity = 12;
    costs.stepsPerPass = 4;
    costs.stepMs = 4.55;
    costs.perSequenceMs = 0.905;
    costs.contextMsPerThousand = 0.0183;
    costs.prefillTokensPerMs = 61.4;
    costs.usualPromptTokens = 800;
    costs.usualAnswerTokens = 96;
    costs.expertShare = 0.85;
    return costs;
}

// A group that serves 80 requests per second gets 56 new ones per second and has a backlog of 200. Returns the
// fraction of the requests after the first second that get a slot within 300 ms.
double timelyShare(bool timelyFirst)
{
    admission_queue queue({ 120, 1'000 });
    queue.setShedding(false);
    // Answers differ in length: 1.5 s in the mean.
    const auto runOf = [](admission_id id) { return milliseconds(750 + static_cast<int>(id * 377 % 1'500)); };
    constexpr milliseconds window { 300 };
    std::map<admission_id, instant> cameAt;
    std::multimap<instant, admission_id> ends;
    int owed = 0;
    int onTime = 0;
    const auto take = [&](const admission_outcome& outcome, instant now) {
        for (const auto id : outcome.started) {
            ends.emplace(now + runOf(id), id);
            const bool counted = cameAt.contains(id) && cameAt[id] >= zero + milliseconds(1'000);
            onTime += counted && now - cameAt[id] <= window ? 1 : 0;
        }
    };
    for (int i = 0; i < 200; ++i) {
        admission_outcome outcome;
        queue.offer({ "w", late, zero + milliseconds(10'000) }, zero, outcome);
        take(outcome, zero);
    }
    for (int tick = 0; tick < 600; ++tick) {
        const instant now = zero + milliseconds(10 * tick);
        while (!ends.empty() && ends.begin()->first <= now) {
            admission_outcome outcome;
            const auto id = ends.begin()->second;
            ends.erase(ends.begin());
            queue.finish(id, runOf(id), now, outcome);
            take(outcome, now);
        }
        // 56 requests per second.
        if (tick * 56 / 100 == (tick + 1) * 56 / 100)
            continue;
        admission_outcome outcome;
        const int priority = timelyFirst ? timely : late;
        cameAt[queue.offer({ "w", priority, zero + milliseconds(10'000) }, now, outcome)] = now;
        take(outcome, now);
        owed += now >= zero + milliseconds(1'000) ? 1 : 0;
    }
    return static_cast<double>(onTime) / owed;
}

} // namespace

TEST_CASE("after a closure new callers are on time while the backlog gets the remaining slots")
{
    CHECK(timelyShare(false) < 0.5);
    CHECK(timelyShare(true) > 0.9);
}

TEST_CASE("a first call waits with priority while it can be on time, then behind those that still can")
{
    auto question = firstCaller();
    CHECK((planAdmissionWait(question) == admission_wait { milliseconds(300), milliseconds(1'500) }));
    question.waited = milliseconds(250);
    CHECK((planAdmissionWait(question) == admission_wait { milliseconds(50), milliseconds(1'500) }));
    question.waited = milliseconds(400);
    CHECK((planAdmissionWait(question) == admission_wait { milliseconds(0), milliseconds(1'400) }));
}

TEST_CASE("a repeated call cannot be on time, and no call waits longer than its caller's patience")
{
    auto question = firstCaller();
    question.firstTime = false;
    CHECK((planAdmissionWait(question) == admission_wait { milliseconds(0), milliseconds(1'800) }));
    question.timeLeft = milliseconds(150);
    question.run = milliseconds(200);
    CHECK((planAdmissionWait(question) == admission_wait {}));
    question = firstCaller();
    question.waited = milliseconds(1'900);
    CHECK((planAdmissionWait(question) == admission_wait {}));
}

TEST_CASE("the more skewed the load of the experts, the fewer sequences are run")
{
    const auto costs = usualCosts();
    constexpr milliseconds gap { 108 };
    CHECK(sequencesToRun(costs, { 1.2, 1 }, gap) == 12);
    const group_slowdown shifted { 3.2, 1 };
    const int fitting = sequencesToRun(costs, shifted, gap);
    CHECK(fitting >= 5);
    CHECK(fitting <= 9);
    CHECK(passTime(costs, fitting, shifted) <= 108);
    CHECK(passTime(costs, fitting + 1, shifted) > 108);
}

TEST_CASE("where no pass can be on time the ranks are filled, so that most requests are served late")
{
    const auto costs = usualCosts();
    constexpr milliseconds gap { 108 };
    CHECK(passTime(costs, 1, { 1.3, 12 }) > 108);
    CHECK(sequencesToRun(costs, { 1.3, 12 }, gap) == 12);
    // One sequence per rank on time is worth less than twelve late ones.
    CHECK(sequencesToRun(costs, { 1.2, 5 }, gap) == 12);
}

TEST_CASE("the model of a pass matches recorded passes within a tenth")
{
    const auto costs = usualCosts();
    // Sequences per rank, skew and duration of a pass in ms, each the mean over half a second.
    CHECK(std::abs(passTime(costs, 11.7, { 1.13, 1 }) / 75 - 1) < 0.05);
    CHECK(std::abs(passTime(costs, 5.9, { 1.16, 1 }) / 48 - 1) < 0.05);
    CHECK(std::abs(passTime(costs, 9.0, { 1.95, 1 }) / 86 - 1) < 0.1);
    // While experts are copied, which makes passes 15 % longer.
    CHECK(std::abs(1.15 * passTime(costs, 8.6, { 2.75, 1 }) / 129 - 1) < 0.05);
}

TEST_CASE("a request that could not finish by its deadline gets no slot")
{
    auto question = firstCaller();
    question.firstTime = false;
    question.run = milliseconds(6'500);
    CHECK((planAdmissionWait(question) == admission_wait { milliseconds(0), milliseconds(1'500) }));
    question.timeLeft = milliseconds(6'000);
    CHECK((planAdmissionWait(question) == admission_wait {}));
}

TEST_CASE("a delay estimate follows the observations, with a margin for their variation")
{
    delay_estimate estimate(milliseconds(200));
    CHECK(estimate.value() == milliseconds(200));
    for (int i = 0; i < 60; ++i)
        estimate.observe(milliseconds(100));
    CHECK(estimate.value() >= milliseconds(99));
    CHECK(estimate.value() <= milliseconds(105));
    for (int i = 0; i < 60; ++i)
        estimate.observe(milliseconds(i % 2 == 0 ? 50 : 150));
    CHECK(estimate.value() >= milliseconds(180));
}

TEST_CASE("the stages of a wait depend on whether the request can still be on time")
{
    auto question = firstCaller();
    CHECK((planAdmission(question) == std::vector<admission_stage> { { timelyPriority, milliseconds(300) }, { latePriority, milliseconds(1'500) } }));
    question.firstTime = false;
    CHECK((planAdmission(question) == std::vector<admission_stage> { { lastChancePriority, milliseconds(1'800) } }));
    question.slotsFree = true;
    CHECK((planAdmission(question) == std::vector<admission_stage> { { timelyPriority, milliseconds(8'000) } }));
    question.begun = true;
    CHECK((planAdmission(question) == std::vector<admission_stage> { { resumedStreamPriority, milliseconds(300) } }));
}
