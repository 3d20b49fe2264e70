// Copies of the store: the position only increases, and freshness counts only for the items that a copy holds.
#include "policy/configuration/published_state.h"

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
    state.apply(published_snapshot { { item("a", "2", 7) }, 9 });
    CHECK(state.apply(published_snapshot { { item("a", "1", 3) }, 4 }).empty());
    CHECK(state.items().at("a").value == "2");
    CHECK(state.position() == store_position { 0, 9 });
}

TEST_CASE("a change that a page of the listing already showed is not applied twice")
{
    published_state state;
    // The pages of a listing are no snapshot: the first gave revision 5, a later page showed a change of revision 6.
    state.apply(published_snapshot { { item("a", "1", 3), item("b", "new", 6) }, 5 });
    const std::vector<published_change> changes { { item("b", "new", 6), false }, { item("a", "2", 7), false } };
    const auto fresh = state.apply(changes, { 0, 5 }, 7);
    REQUIRE(fresh.size() == 1);
    CHECK(fresh.front().item.key == "a");
}

TEST_CASE("freshness of an older position does not count for the items held")
{
    published_state state;
    state.apply(published_snapshot { { item("a", "1", 3) }, 5 });
    state.recordFreshness({ 0, 4 }, zero + milliseconds(100));
    CHECK_FALSE(state.freshAsOf());
    state.recordFreshness({ 0, 5 }, zero + milliseconds(90));
    CHECK(state.freshAsOf() == zero + milliseconds(90));
    state.recordFreshness({ 0, 5 }, zero + milliseconds(80));
    CHECK(state.freshAsOf() == zero + milliseconds(90));
}

// A restored store reuses revision numbers: VMs that had read it themselves and VMs that had its state from a peer held
// different items under the same revision ("version=67 revision=46" and "version=57 revision=46"), each confirmed as fresh.
TEST_CASE("a listing of a restored store replaces one with a higher revision of an earlier epoch, not the reverse")
{
    published_state state;
    state.apply(published_snapshot { { item("a", "lost", 46) }, 46, 1 });
    CHECK(state.apply(published_snapshot { { item("a", "written again", 40) }, 40, 2 }).size() == 1);
    CHECK(state.position() == store_position { 2, 40 });
    CHECK(state.apply(published_snapshot { { item("a", "lost", 46) }, 46, 1 }).empty());
    CHECK(state.items().at("a").value == "written again");
}

TEST_CASE("changes that leave a gap to the copy, or are of another epoch, are ignored")
{
    published_state state;
    state.apply(published_snapshot { { item("a", "1", 40) }, 40, 2 });
    const std::vector<published_change> changes { { item("a", "2", 47), false } };
    CHECK(state.apply(changes, { 1, 46 }, 47).empty());
    CHECK(state.apply(changes, { 2, 46 }, 47).empty());
    CHECK(state.position() == store_position { 2, 40 });
    CHECK(state.apply(changes, { 2, 40 }, 47).size() == 1);
}

TEST_CASE("freshness of the same revision in another epoch does not count")
{
    published_state state;
    state.apply(published_snapshot { { item("a", "1", 46) }, 46, 1 });
    state.recordFreshness({ 2, 46 }, zero + milliseconds(100));
    CHECK_FALSE(state.freshAsOf());
}

TEST_CASE("a copy of another epoch gets all items, also those with a lower revision than its own")
{
    published_state source;
    source.apply(published_snapshot { { item("a", "1", 3), item("b", "2", 40) }, 40, 2 });
    CHECK(source.since({ 2, 39 }).items.size() == 1);
    CHECK(source.since({ 1, 46 }).items.size() == 2);
    published_state follower;
    follower.apply(published_snapshot { { item("a", "1", 3), item("b", "lost", 41), item("c", "lost", 46) }, 46, 1 });
    follower.apply(source.since(follower.position()));
    CHECK(follower.items() == source.items());
}

TEST_CASE("a copy updated by deltas holds the same items as its source")
{
    CHECK(rc::check([] {
        published_state source;
        published_state follower;
        store_revision revision = 0;
        for (const auto step : *rc::gen::container<std::vector<int>>(60, rc::gen::inRange(0, 40))) {
            const std::string key = "k" + std::to_string(step % 7);
            ++revision;
            const bool removed = step >= 30;
            source.apply({ published_change { item(key, std::to_string(step), revision), removed } }, source.position(), revision);
            if (step % 3 != 0)
                continue;
            const store_position held = follower.position();
            follower.apply(source.since(held, step % 2 == 0));
            RC_ASSERT(follower.items() == source.items());
            RC_ASSERT(follower.position() == source.position());
        }
    }));
}

TEST_CASE("a change costs the same to pass on, however many items there are")
{
    published_state source;
    published_snapshot first { {}, 1'000 };
    for (int i = 0; i < 1'000; ++i)
        first.items.push_back(item("servers/" + std::to_string(i), "x", i + 1));
    source.apply(first);
    published_state follower;
    follower.apply(source.since(follower.position(), true));
    source.apply({ published_change { item("servers/5", "y", 1'001), false }, published_change { item("servers/7", {}, 1'002), true } }, source.position(), 1'002);
    const published_delta delta = source.since(follower.position(), true);
    CHECK(delta.items.size() == 1);
    CHECK(delta.removed == std::vector<removed_key> { { "servers/7", 1'002 } });
    CHECK(delta.keys.empty());
    CHECK(follower.apply(delta).size() == 2);
    CHECK(follower.items() == source.items());
    // A process that cannot use this gets the keys of all items.
    CHECK(source.since({ 0, 1'000 }).keys.size() == 999);
}

TEST_CASE("removals that are not known any more are told by the keys of all items")
{
    published_state source;
    published_snapshot all { {}, 3'000 };
    for (int i = 0; i < 3'000; ++i)
        all.items.push_back(item("servers/" + std::to_string(i), "x", i + 1));
    source.apply(all);
    published_state follower;
    follower.apply(source.since(follower.position(), true));
    for (int i = 0; i < 2'000; ++i)
        source.apply({ published_change { item("servers/" + std::to_string(i), {}, 3'001 + i), true } }, source.position(), 3'001 + i);
    CHECK_FALSE(source.since(follower.position(), true).changesFrom);
    CHECK(source.since({ 0, 4'500 }, true).changesFrom);
    follower.apply(source.since(follower.position(), true));
    CHECK(follower.items() == source.items());
}

TEST_CASE("a copy updated by deltas holds the same items as a source whose store is restored at times")
{
    CHECK(rc::check([] {
        published_state source;
        published_state follower;
        published_snapshot store;
        published_snapshot copy;
        for (const auto step : *rc::gen::container<std::vector<int>>(80, rc::gen::inRange(0, 60))) {
            if (step >= 50) {
                const store_epoch epoch = store.epoch + 1;
                store = copy;
                store.epoch = epoch;
            } else if (step >= 45) {
                copy = store;
            } else {
                const std::string key = "k" + std::to_string(step % 7);
                std::erase_if(store.items, [&key](const published_item& held) { return held.key == key; });
                ++store.revision;
                if (step < 35)
                    store.items.push_back(item(key, std::to_string(*rc::gen::inRange(0, 1'000)), store.revision));
            }
            if (step % 2 == 0)
                source.apply(store);
            if (step % 3 == 0) {
                follower.apply(source.since(follower.position(), step % 2 == 0));
                RC_ASSERT(follower.items() == source.items());
                RC_ASSERT(follower.position() == source.position());
            }
        }
    }));
}

TEST_CASE("keys are admitted only while the copy is fresh")
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

namespace {

// Items under "c" stay in force while they are not listed. A value that is no number cannot be read.
class numbered_items : public item_order {
public:
    std::optional<item_rank> rank(const published_item& read) const override
    {
        const bool isNumber = !read.value.empty() && read.value.find_first_not_of("0123456789") == std::string::npos;
        return isNumber ? std::optional(item_rank { std::stoull(read.value), item_stage::current }) : std::nullopt;
    }
    bool staysInForceUnlisted(const published_item& kept) const override { return kept.key == "c"; }
    bool endsByRemoval(const published_item& removed) const override { return removed.key != "c"; }
};

} // namespace

// The configuration was overwritten with something unreadable: who had it kept it in force, and who started later never had one.
TEST_CASE("an unreadable configuration does not hide the one in force from a process that starts")
{
    const numbered_items order;
    for (const bool listedAgain : { false, true }) {
        published_state state(order);
        state.apply(published_snapshot { { item("c", "1", 1), item("s", "1", 1) }, 1, 1 });
        const std::vector<published_change> odd { { item("c", "odd", 2), false }, { item("s", "odd", 2), false } };
        const auto changes = listedAgain ? state.apply(published_snapshot { { odd[0].item, odd[1].item }, 2, 1 }) : state.apply(odd, { 1, 1 }, 2);
        CHECK(std::count(changes.begin(), changes.end(), odd[0]) == 1);
        CHECK(state.items().at("c").value == "1");
        // A server's entry that became unreadable may be the one that says that it leaves.
        CHECK(state.items().at("s").value == "odd");
        REQUIRE(state.retained().all().size() == 1);
        CHECK(state.retained().isIndefinite(state.retained().all().at("c")));
        published_state started(order);
        started.apply(published_snapshot { { odd[0].item, odd[1].item }, 2, 1 });
        started.mergeRetained({ state.retained().all().at("c") }, true);
        CHECK(started.items().at("c").value == "1");
        CHECK(started.retained().digest() == state.retained().digest());
        state.apply({ { item("c", "2", 3), false } }, { 1, 2 }, 3);
        CHECK(state.items().at("c").value == "2");
        CHECK(state.retained().all().empty());
    }
}

TEST_CASE("an unreadable item is not kept in place of a readable one, nor anything in its place if there was none")
{
    const numbered_items order;
    published_state state(order);
    state.apply(published_snapshot { { item("c", "odd", 1) }, 1, 1 });
    // It is reported once.
    CHECK(state.apply({ { item("c", "odder", 2), false } }, { 1, 1 }, 2).size() == 1);
    CHECK(state.retained().all().empty());
    state.apply({ { item("c", "1", 3), false } }, { 1, 2 }, 3);
    CHECK(state.items().at("c").value == "1");
    CHECK(state.retained().all().empty());
}
