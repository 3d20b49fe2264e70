// How the state of the fleet travels: compressed, whole or not at all, and from the own zone
// where that has it.
#include "gateway/snapshot_codec.h"

#include "gateway.pb.h"
#include "policy/snapshot_choice.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

constexpr std::size_t largest = 1'000'000;
const instant zero {};

// Of a store that was never restored.
constexpr state_summary at(store_revision revision)
{
    return { { 0, revision }, 0 };
}

gateway::fleet_snapshot snapshotOf(int routes)
{
    gateway::fleet_snapshot snapshot;
    snapshot.set_revision(41);
    auto* item = snapshot.add_items();
    item->set_key("configuration");
    for (int i = 0; i < routes; ++i)
        item->mutable_value()->append(R"({"name":"r)" + std::to_string(i) + R"(","host":"a.example","timeout_ms":8000,"max_attempts":2},)");
    return snapshot;
}

} // namespace

TEST_CASE("a snapshot is the same after its way, and a large one a fraction of its size")
{
    const auto sent = snapshotOf(400);
    const auto packed = packSnapshot(sent);
    CHECK(packed.size() * 5 < sent.ByteSizeLong());
    const auto received = unpackSnapshot(packed, largest);
    REQUIRE(received);
    CHECK(received->SerializeAsString() == sent.SerializeAsString());
}

TEST_CASE("what is cut, foreign or too large is no snapshot")
{
    const auto packed = packSnapshot(snapshotOf(400));
    CHECK_FALSE(unpackSnapshot(packed.substr(0, packed.size() / 2), largest));
    CHECK_FALSE(unpackSnapshot("no snapshot", largest));
    CHECK_FALSE(unpackSnapshot(packed, 1'000));
    CHECK(rc::check([&packed] {
        auto broken = packed;
        broken[*rc::gen::inRange<std::size_t>(0, broken.size())] = *rc::gen::arbitrary<char>();
        // Never more than was sent, whatever the bytes are.
        const auto received = unpackSnapshot(broken, largest);
        if (received)
            RC_ASSERT(received->ByteSizeLong() <= largest);
    }));
}

TEST_CASE("a change that the own zone has is fetched there at once")
{
    snapshot_choice choice;
    CHECK(choice.recordPeerSummary("far", false, at(8), at(7), zero) == std::nullopt);
    CHECK(choice.recordPeerSummary("near", true, at(8), at(7), zero + milliseconds(20)) == "near");
    CHECK(choice.overdueFetch({ 0, 8 }, zero + milliseconds(900)) == std::nullopt);
}

TEST_CASE("a change that the own zone does not get is fetched from another in time")
{
    snapshot_choice choice;
    CHECK(choice.recordPeerSummary("far", false, at(8), at(7), zero) == std::nullopt);
    CHECK(choice.overdueFetch({ 0, 7 }, zero + milliseconds(399)) == std::nullopt);
    CHECK(choice.overdueFetch({ 0, 7 }, zero + milliseconds(400)) == "far");
    CHECK(choice.recordPeerSummary("farther", false, at(9), at(7), zero + milliseconds(450)) == "farther");
    // The wait is for each change anew, not for each that comes while one is missing.
    CHECK(choice.recordPeerSummary("far", false, at(10), at(9), zero + milliseconds(500)) == std::nullopt);
    CHECK(choice.overdueFetch({ 0, 9 }, zero + milliseconds(900)) == "far");
}

TEST_CASE("a process that holds nothing fetches from whoever it hears")
{
    snapshot_choice choice;
    CHECK(choice.recordPeerSummary("far", false, at(8), at(0), zero) == "far");
    CHECK(choice.recordPeerSummary("far", false, at(8), at(8), zero) == std::nullopt);
}

TEST_CASE("the state of a restored store is fetched, though its revision is lower")
{
    snapshot_choice choice;
    CHECK(choice.recordPeerSummary("near", true, { { 2, 31 }, 0 }, { { 1, 35 }, 0 }, zero) == "near");
    CHECK(choice.recordPeerSummary("near", true, { { 1, 35 }, 0 }, { { 2, 31 }, 0 }, zero) == std::nullopt);
    CHECK(choice.overdueFetch({ 2, 31 }, zero + milliseconds(900)) == std::nullopt);
}
