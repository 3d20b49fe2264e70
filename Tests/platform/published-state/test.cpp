// Copies of the store: revisions only rise, proofs say something about what is held.
#include "policy/published_state.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

const instant zero {};

published_item item(const std::string& key, const std::string& value, store_revision revision)
{
    return { key, value, revision, revision };
}

} // namespace

TEST_CASE("an older listing changes nothing")
{
    published_state state;
    state.take(published_snapshot { { item("a", "2", 7) }, 9 });
    CHECK(state.take(published_snapshot { { item("a", "1", 3) }, 4 }).empty());
    CHECK(state.items().at("a").value == "2");
    CHECK(state.revision() == 9);
}

TEST_CASE("a change that a page of the listing already showed is not taken twice")
{
    published_state state;
    // Pages are no snapshot: the first said revision 5, a later page showed a change of 6.
    state.take(published_snapshot { { item("a", "1", 3), item("b", "new", 6) }, 5 });
    const std::vector<published_change> changes { { item("b", "new", 6), false }, { item("a", "2", 7), false } };
    const auto fresh = state.take(changes, 7);
    REQUIRE(fresh.size() == 1);
    CHECK(fresh.front().item.key == "a");
}

TEST_CASE("a proof about older items proves nothing about the held ones")
{
    published_state state;
    state.take(published_snapshot { { item("a", "1", 3) }, 5 });
    state.noteProof(4, zero + milliseconds(100));
    CHECK_FALSE(state.provenAt());
    state.noteProof(5, zero + milliseconds(90));
    CHECK(state.provenAt() == zero + milliseconds(90));
    state.noteProof(5, zero + milliseconds(80));
    CHECK(state.provenAt() == zero + milliseconds(90));
}

TEST_CASE("whoever follows by deltas holds the same items as the source")
{
    CHECK(rc::check([] {
        published_state source;
        published_state follower;
        store_revision revision = 0;
        for (const auto step : *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 40))) {
            const std::string key = "k" + std::to_string(step % 7);
            ++revision;
            const bool removed = step >= 30;
            source.take({ published_change { item(key, std::to_string(step), revision), removed } }, revision);
            if (step % 3 != 0)
                continue;
            const store_revision held = follower.revision();
            follower.take(source.since(held));
            RC_ASSERT(follower.items() == source.items());
            RC_ASSERT(follower.revision() == source.revision());
        }
    }));
}

TEST_CASE("keys are used only while the proof is young, by the clock of the moment")
{
    const freshness_rule rule(true, milliseconds(5'000), milliseconds(1'400));
    CHECK_FALSE(rule.mayUseKeys(std::nullopt, zero));
    CHECK(rule.mayUseKeys(zero, zero + milliseconds(3'599)));
    CHECK_FALSE(rule.mayUseKeys(zero, zero + milliseconds(3'600)));
    CHECK(rule.refusedFor(zero, zero + milliseconds(3'599)) == milliseconds(0));
    CHECK(rule.refusedFor(zero, zero + milliseconds(4'000)) == milliseconds(400));
    CHECK(rule.refusedFor(std::nullopt, zero) == milliseconds(0));
    CHECK(freshness_rule(false, milliseconds(5'000), milliseconds(0)).mayUseKeys(std::nullopt, zero));
}
