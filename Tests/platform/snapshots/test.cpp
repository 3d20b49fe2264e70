// Transfer of the fleet's state: snapshots are compressed and accepted only as a whole, and are fetched
// from a peer of the own zone if one has them in time.
#include "gateway/fleet/snapshot_codec.h"

#include "gateway.pb.h"
#include "policy/configuration/snapshot_choice.h"
#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

constexpr std::size_t largest = 1'000'000;
const instant zero {};

// The summary of a state whose store was never restored.
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

TEST_CASE("a snapshot is unpacked unchanged, and a large one is compressed to a fraction of its size")
{
    const auto sent = snapshotOf(400);
    const auto packed = packSnapshot(sent);
    CHECK(packed.size() * 5 < sent.ByteSizeLong());
    const auto received = unpackSnapshot(packed, largest);
    REQUIRE(received);
    CHECK(received->SerializeAsString() == sent.SerializeAsString());
}

TEST_CASE("truncated, foreign and too large bytes are rejected")
{
    const auto packed = packSnapshot(snapshotOf(400));
    CHECK_FALSE(unpackSnapshot(packed.substr(0, packed.size() / 2), largest));
    CHECK_FALSE(unpackSnapshot("no snapshot", largest));
    CHECK_FALSE(unpackSnapshot(packed, 1'000));
    CHECK(rc::check([&packed] {
        auto broken = packed;
        broken[*rc::gen::inRange<std::size_t>(0, broken.size())] = *rc::gen::arbitrary<char>();
        // Whatever the bytes are, the result stays within the limit.
        const auto received = unpackSnapshot(broken, largest);
        if (received)
            RC_ASSERT(received->ByteSizeLong() <= largest);
    }));
}

TEST_CASE("a change that a peer of the own zone has is fetched from it at once")
{
    snapshot_choice choice;
    CHECK(choice.recordPeerSummary("far", false, at(8), at(7), zero) == std::nullopt);
    CHECK(choice.recordPeerSummary("near", true, at(8), at(7), zero + milliseconds(20)) == "near");
    CHECK(choice.overdueFetch({ 0, 8 }, zero + milliseconds(900)) == std::nullopt);
}

TEST_CASE("a change that no peer of the own zone has in time is fetched from another zone")
{
    snapshot_choice choice;
    CHECK(choice.recordPeerSummary("far", false, at(8), at(7), zero) == std::nullopt);
    CHECK(choice.overdueFetch({ 0, 7 }, zero + milliseconds(399)) == std::nullopt);
    CHECK(choice.overdueFetch({ 0, 7 }, zero + milliseconds(400)) == "far");
    CHECK(choice.recordPeerSummary("farther", false, at(9), at(7), zero + milliseconds(450)) == "farther");
    // The wait starts again for a new change only after the missing ones were fetched.
    CHECK(choice.recordPeerSummary("far", false, at(10), at(9), zero + milliseconds(500)) == std::nullopt);
    CHECK(choice.overdueFetch({ 0, 9 }, zero + milliseconds(900)) == "far");
}

TEST_CASE("a process without state fetches it from the first peer that reports some")
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
