// The admission queue: bounded, in order, by priority, fair between workspaces.

#include "policy/limits/rate_limiter.h"
#include "policy/requests/admission_queue.h"

#include <doctest/doctest.h>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace rampgap;

namespace {

const instant start = instant() + std::chrono::hours(1);

} // namespace

TEST_CASE("every request starts or is refused exactly once, within the bounds, in order")
{
    CHECK(rc::check("admission", [] {
        const admission_limits limits { *rc::gen::inRange(1, 5), *rc::gen::inRange(0, 20) };
        admission_queue queue(limits);
        instant now = start;
        std::set<admission_id> open;
        std::set<admission_id> running;
        std::map<std::string, admission_id> lastStarted;
        std::map<admission_id, std::string> owner;
        const auto take = [&](const admission_outcome& outcome) {
            for (const auto id : outcome.started) {
                RC_ASSERT(open.erase(id) == 1);
                running.insert(id);
                RC_ASSERT(lastStarted[owner[id]] < id);
                lastStarted[owner[id]] = id;
            }
            for (const auto& [id, refused] : outcome.refused) {
                RC_ASSERT(open.erase(id) == 1);
                RC_ASSERT(refused.ran == verdict::not_run);
                RC_ASSERT(refused.retryAfter.has_value());
            }
            RC_ASSERT(running.size() <= static_cast<std::size_t>(limits.slots));
            RC_ASSERT(open.size() <= static_cast<std::size_t>(limits.maxQueued) || open.size() <= 1);
        };
        const int steps = *rc::gen::inRange(1, 150);
        for (int i = 0; i < steps; ++i) {
            now += milliseconds(*rc::gen::inRange(0, 20));
            admission_outcome outcome;
            if (running.empty() || *rc::gen::inRange(0, 3) > 0) {
                const std::string workspace(1, static_cast<char>('a' + *rc::gen::inRange(0, 3)));
                const admission_id next = queue.offer({ workspace, 5, now + milliseconds(*rc::gen::inRange(1, 500)) }, now, outcome);
                owner[next] = workspace;
                open.insert(next);
            } else {
                const admission_id ended = *running.begin();
                running.erase(ended);
                queue.finish(ended, milliseconds(10), now, outcome);
            }
            take(outcome);
            RC_ASSERT(queue.running() == static_cast<int>(running.size()));
            RC_ASSERT(queue.queued() == static_cast<int>(open.size()));
        }
    }));
}

TEST_CASE("with one urgency only, its value changes nothing")
{
    CHECK(rc::check("one urgency", [] {
        const admission_limits limits { *rc::gen::inRange(1, 5), *rc::gen::inRange(0, 20) };
        admission_queue plain(limits);
        admission_queue urgent(limits);
        for (auto* queue : { &plain, &urgent })
            queue->reserve(2, 4);
        const int urgency = *rc::gen::inRange(-2, 10);
        std::set<admission_id> running;
        instant now = start;
        const int steps = *rc::gen::inRange(1, 150);
        for (int i = 0; i < steps; ++i) {
            now += milliseconds(*rc::gen::inRange(0, 20));
            admission_outcome expected;
            admission_outcome outcome;
            if (running.empty() || *rc::gen::inRange(0, 3) > 0) {
                admission_request asked { std::string(1, static_cast<char>('a' + *rc::gen::inRange(0, 3))), *rc::gen::inRange(1, 4), now + milliseconds(*rc::gen::inRange(1, 500)) };
                RC_ASSERT(plain.predictedWait(asked.workspace, asked.priority) == urgent.predictedWait(asked.workspace, asked.priority, urgency));
                plain.offer(asked, now, expected);
                asked.urgency = urgency;
                urgent.offer(asked, now, outcome);
            } else {
                const admission_id ended = *running.begin();
                running.erase(ended);
                plain.finish(ended, milliseconds(10), now, expected);
                urgent.finish(ended, milliseconds(10), now, outcome);
            }
            RC_ASSERT(outcome == expected);
            running.insert(outcome.started.begin(), outcome.started.end());
        }
    }));
}

TEST_CASE("a small workspace keeps its share under a 20-fold flood of a large one")
{
    admission_queue queue({ 4, 64 });
    instant now = start;
    std::map<admission_id, std::string> owner;
    std::map<std::string, int> started;
    std::set<admission_id> running;
    int smallOffered = 0;
    const auto take = [&](const admission_outcome& outcome) {
        for (const auto id : outcome.started) {
            ++started[owner[id]];
            running.insert(id);
        }
    };
    // Each tick: 1 small and 20 large requests arrive, 4 run and end.
    for (int tick = 0; tick < 500; ++tick) {
        for (int i = 0; i < 21; ++i) {
            const std::string workspace = i == 7 ? "small" : "large";
            smallOffered += i == 7 ? 1 : 0;
            const auto deadline = now + std::chrono::seconds(5);
            admission_outcome made;
            const admission_id id = queue.offer({ workspace, 5, deadline }, now, made);
            owner[id] = workspace;
            take(made);
        }
        now += milliseconds(10);
        const auto ending = std::exchange(running, {});
        for (const auto id : ending) {
            admission_outcome outcome;
            queue.finish(id, milliseconds(10), now, outcome);
            take(outcome);
        }
    }
    MESSAGE("small: " << started["small"] << " of " << smallOffered << " started; large: " << started["large"]);
    CHECK(started["small"] >= smallOffered * 95 / 100);
}

TEST_CASE("higher priority starts first")
{
    admission_queue queue({ 1, 10 });
    admission_outcome outcome;
    const auto deadline = start + std::chrono::seconds(60);
    const auto first = queue.offer({ "w", 5, deadline }, start, outcome);
    const auto low = queue.offer({ "w", 7, deadline }, start, outcome);
    const auto high = queue.offer({ "w", 1, deadline }, start, outcome);
    outcome = {};
    queue.finish(first, milliseconds(1), start, outcome);
    CHECK(outcome.started == std::vector<admission_id> { high });
    outcome = {};
    queue.finish(high, milliseconds(1), start, outcome);
    CHECK(outcome.started == std::vector<admission_id> { low });
}

// Under load, requests that could no longer finish by their deadline got the free slot, were cut off by the
// deadline and ended as "may have run".
TEST_CASE("a free slot does not go to a request that can no longer finish by its deadline")
{
    constexpr milliseconds run { 100 };
    admission_queue queue({ 1, 10 });
    admission_outcome outcome;
    const auto first = queue.offer({ "w", 5, start + std::chrono::seconds(60) }, start, outcome);
    const auto late = queue.offer({ "w", 5, start + run + run - milliseconds(4) }, start, outcome);
    const auto inTime = queue.offer({ "w", 5, start + run + run }, start, outcome);
    outcome = {};
    queue.finish(first, run, start + run, outcome);
    CHECK(outcome.started == std::vector<admission_id> { inTime });
    REQUIRE(outcome.refused.size() == 1);
    CHECK(outcome.refused.front().first == late);
    CHECK((outcome.refused.front().second.ran == verdict::not_run));
}

TEST_CASE("the shares of several entry VMs keep a workspace at its declared rate")
{
    workspace_declaration workspace;
    workspace.name = "w";
    workspace.requestsPerSecond = 60;
    std::vector<rate_limiter> entries(6);
    for (auto& entry : entries)
        entry.setShare(1.0 / 6);
    int passed = 0;
    constexpr int seconds = 20;
    for (int ms = 0; ms < seconds * 1'000; ++ms) {
        if (entries[static_cast<std::size_t>(ms) % entries.size()].enter(workspace, start + milliseconds(ms)))
            ++passed;
    }
    CHECK(passed >= 60 * seconds * 95 / 100);
    CHECK(passed <= 60 * (seconds + 1));
}
