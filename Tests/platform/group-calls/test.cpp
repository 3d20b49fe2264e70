// Guards against group calls that miss a rank or reach it twice, that need many messages from one
// machine, or that lose time at unreachable agents, when agents forward them.
#include "gateway/groups/expert_count_codec.h"
#include "policy/groups/call_tree.h"
#include "policy/membership/reachability_tracker.h"

#include <doctest/doctest.h>
#include <numeric>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

const instant zero {};

std::vector<call_target> targets(std::size_t count)
{
    std::vector<call_target> all(count);
    for (std::size_t i = 0; i < count; ++i)
        all[i].index = static_cast<std::uint32_t>(i);
    return all;
}

struct call_result {
    std::vector<int> times;
    std::size_t mostMessages = 0;
    std::size_t deepest = 0;
};

// Forwards a call as agents do: each part goes to its first target.
void forward(std::vector<call_target> part, std::size_t depth, call_result& result)
{
    const auto parts = splitCall(part);
    result.mostMessages = std::max(result.mostMessages, parts.size());
    for (const auto& next : parts) {
        REQUIRE_FALSE(next.empty());
        result.deepest = std::max(result.deepest, depth + 1);
        ++result.times[next.front().index];
        forward({ next.begin() + 1, next.end() }, depth + 1, result);
    }
}

} // namespace

TEST_CASE("a call reaches every rank once, with at most six messages from any machine")
{
    CHECK(rc::check([] {
        auto all = targets(*rc::gen::inRange<std::size_t>(0, 400));
        for (auto& target : all)
            target.reachability = *rc::gen::element(agent_reachability::forwards, agent_reachability::forwards, agent_reachability::answers_only, agent_reachability::unreachable);
        call_result result { std::vector<int>(all.size(), 0) };
        forward(all, 0, result);
        RC_ASSERT(std::all_of(result.times.begin(), result.times.end(), [](int times) { return times == 1; }));
        RC_ASSERT(result.mostMessages <= callFanout);
    }));
}

TEST_CASE("128 ranks are reached in three levels of messages, 389 in four")
{
    for (const auto& [count, depth] : { std::pair<std::size_t, std::size_t> { 11, 2 }, { 62, 3 }, { 128, 3 }, { 389, 4 } }) {
        call_result result { std::vector<int>(count, 0) };
        forward(targets(count), 0, result);
        CHECK(result.deepest == depth);
        CHECK(callDepth(count) == depth);
    }
}

TEST_CASE("agents that were unreachable forward nothing while there are enough others")
{
    CHECK(rc::check([] {
        auto all = targets(60);
        for (int i = 0; i < 30; ++i)
            all[*rc::gen::inRange<std::size_t>(0, 60)].reachability = *rc::gen::element(agent_reachability::answers_only, agent_reachability::unreachable);
        for (const auto& part : splitCall(all))
            RC_ASSERT((part.front().reachability == agent_reachability::forwards));
    }));
}

TEST_CASE("an agent that does not answer delays one call, is bypassed for a while, and is then called again")
{
    reachability_tracker tracker;
    CHECK((tracker.reachability("a", zero) == agent_reachability::forwards));
    tracker.record("a", false, zero);
    CHECK((tracker.reachability("a", zero + milliseconds(699)) == agent_reachability::unreachable));
    CHECK((tracker.reachability("a", zero + milliseconds(700)) == agent_reachability::answers_only));
    tracker.record("a", true, zero + milliseconds(700));
    CHECK((tracker.reachability("a", zero + milliseconds(700)) == agent_reachability::forwards));
}

TEST_CASE("a leader that polls each 0.2 s calls an unreachable agent again, though its engine answers meanwhile")
{
    reachability_tracker tracker;
    int calls = 0;
    for (int poll = 0; poll < 50; ++poll) {
        const instant now = zero + poll * milliseconds(200);
        if (tracker.reachability("a", now) == agent_reachability::unreachable)
            continue;
        ++calls;
        tracker.record("a", false, now + milliseconds(100));
    }
    CHECK(calls >= 10);
    CHECK(calls <= 14);
}

TEST_CASE("counts of all ranks are summed while forwarding, with little error and no more bytes than one rank's")
{
    std::mt19937 random(3);
    std::vector<std::uint64_t> exact;
    std::vector<std::uint64_t> packedThenSummed;
    for (int rank = 0; rank < 129; ++rank) {
        std::vector<std::uint64_t> counts(258);
        for (std::size_t e = 0; e < counts.size(); ++e)
            counts[e] = std::uniform_int_distribution<std::uint64_t>(0, 10'000 / (e + 1))(random);
        addExpertCounts(exact, counts);
        addExpertCounts(packedThenSummed, *unpackExpertCounts(packExpertCounts(counts)));
    }
    const std::string packed = packExpertCounts(packedThenSummed);
    CHECK(packed.size() == 258 + 4);
    const auto unpacked = *unpackExpertCounts(packed);
    const auto sum = static_cast<double>(std::accumulate(exact.begin(), exact.end(), std::uint64_t { 0 }));
    double error = 0;
    for (std::size_t e = 0; e < exact.size(); ++e)
        error += std::abs(static_cast<double>(unpacked[e]) - static_cast<double>(exact[e])) / sum / 2;
    CHECK(error < 0.02);
}

TEST_CASE("bytes that are not packed counts are refused")
{
    CHECK(unpackExpertCounts("")->empty());
    CHECK_FALSE(unpackExpertCounts("abcd").has_value());
}
