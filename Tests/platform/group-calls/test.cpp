// Calls that agents pass on: every rank is asked once, and no machine sends many messages.
#include "gateway/choice_codec.h"
#include "policy/agent_reach.h"
#include "policy/call_tree.h"

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

struct reached {
    std::vector<int> times;
    std::size_t mostMessages = 0;
    std::size_t deepest = 0;
};

// Passes a call on as agents do: each part goes to its first target.
void pass(std::vector<call_target> part, std::size_t depth, reached& seen)
{
    const auto parts = splitCall(part);
    seen.mostMessages = std::max(seen.mostMessages, parts.size());
    for (const auto& next : parts) {
        REQUIRE_FALSE(next.empty());
        seen.deepest = std::max(seen.deepest, depth + 1);
        ++seen.times[next.front().index];
        pass({ next.begin() + 1, next.end() }, depth + 1, seen);
    }
}

} // namespace

TEST_CASE("a call reaches every rank once, through at most six messages at any machine")
{
    CHECK(rc::check([] {
        auto all = targets(*rc::gen::inRange<std::size_t>(0, 400));
        for (auto& target : all)
            target.trust = *rc::gen::element(agent_trust::good, agent_trust::good, agent_trust::doubtful, agent_trust::silent);
        reached seen { std::vector<int>(all.size(), 0) };
        pass(all, 0, seen);
        RC_ASSERT(std::all_of(seen.times.begin(), seen.times.end(), [](int times) { return times == 1; }));
        RC_ASSERT(seen.mostMessages <= callFanout);
    }));
}

TEST_CASE("128 ranks are reached in three messages one after the other, 389 in four")
{
    for (const auto& [count, depth] : { std::pair<std::size_t, std::size_t> { 11, 2 }, { 62, 3 }, { 128, 3 }, { 389, 4 } }) {
        reached seen { std::vector<int>(count, 0) };
        pass(targets(count), 0, seen);
        CHECK(seen.deepest == depth);
        CHECK(callDepth(count) == depth);
    }
}

TEST_CASE("agents that were silent pass nothing on while there are enough others")
{
    CHECK(rc::check([] {
        auto all = targets(60);
        for (int i = 0; i < 30; ++i)
            all[*rc::gen::inRange<std::size_t>(0, 60)].trust = *rc::gen::element(agent_trust::doubtful, agent_trust::silent);
        for (const auto& part : splitCall(all))
            RC_ASSERT((part.front().trust == agent_trust::good));
    }));
}

TEST_CASE("an agent that does not answer costs one call, then its engine is asked, then it is tried again")
{
    agent_reach reach;
    CHECK((reach.trust("a", zero) == agent_trust::good));
    reach.note("a", false, zero);
    CHECK((reach.trust("a", zero + milliseconds(699)) == agent_trust::silent));
    CHECK((reach.trust("a", zero + milliseconds(700)) == agent_trust::doubtful));
    reach.note("a", true, zero + milliseconds(700));
    CHECK((reach.trust("a", zero + milliseconds(700)) == agent_trust::good));
}

TEST_CASE("a leader that looks each 0.2 s calls an agent again, though its engine is asked meanwhile")
{
    agent_reach reach;
    int calls = 0;
    for (int look = 0; look < 50; ++look) {
        const instant now = zero + look * milliseconds(200);
        if (reach.trust("a", now) == agent_trust::silent)
            continue;
        ++calls;
        reach.note("a", false, now + milliseconds(100));
    }
    CHECK(calls >= 10);
    CHECK(calls <= 14);
}

TEST_CASE("counts of all ranks are summed on the way, with little lost and no more bytes than one rank's")
{
    std::mt19937 random(3);
    std::vector<std::uint64_t> exact;
    std::vector<std::uint64_t> told;
    for (int rank = 0; rank < 129; ++rank) {
        std::vector<std::uint64_t> counts(258);
        for (std::size_t e = 0; e < counts.size(); ++e)
            counts[e] = std::uniform_int_distribution<std::uint64_t>(0, 10'000 / (e + 1))(random);
        addChoices(exact, counts);
        addChoices(told, *unpackChoices(packChoices(counts)));
    }
    const std::string packed = packChoices(told);
    CHECK(packed.size() == 258 + 4);
    const auto unpacked = *unpackChoices(packed);
    const auto sum = static_cast<double>(std::accumulate(exact.begin(), exact.end(), std::uint64_t { 0 }));
    double moved = 0;
    for (std::size_t e = 0; e < exact.size(); ++e)
        moved += std::abs(static_cast<double>(unpacked[e]) - static_cast<double>(exact[e])) / sum / 2;
    CHECK(moved < 0.02);
}

TEST_CASE("bytes that are no counts are refused")
{
    CHECK(unpackChoices("")->empty());
    CHECK_FALSE(unpackChoices("abcd").has_value());
}
