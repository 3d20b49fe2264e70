// When an entry VM says that it is ready.
#include "policy/peer_table.h"
#include "policy/readiness.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

const instant zero {};

peer_table threeZones()
{
    peer_table peers({ "10.1.0.1", "a", peer_role::entry, 1 }, {}, milliseconds(3'000));
    for (const std::string zone : { "a", "b", "c" })
        peers.noteHeard({ "10.2.0." + zone, zone, peer_role::entry, 1 }, zero);
    return peers;
}

// Time after a cut of its zone when a VM is no longer ready. Its last proof was `proofAge` old
// then; peers of the own zone are still heard. `othersHeard`: only the store is away.
milliseconds readyUntil(milliseconds proofAge, bool othersHeard)
{
    peer_table peers = threeZones();
    milliseconds since { 0 };
    for (; since < milliseconds(10'000); since += milliseconds(50)) {
        const instant now = zero + since;
        peers.noteHeard({ "10.2.0.a", "a", peer_role::entry, 1 }, now);
        if (othersHeard)
            peers.noteHeard({ "10.2.0.b", "b", peer_role::entry, 1 }, now);
        if (!isReady({ false, true, proofAge + since, peers.sinceOtherZones(now) }))
            break;
    }
    return since;
}

} // namespace

TEST_CASE("a VM in a zone that is cut off says so two seconds before it refuses all keys")
{
    // Keys are refused 3.6 s after the last proof; two misses of the balancer take up to 2 s.
    constexpr milliseconds keysRefusedAfter { 3'600 };
    constexpr milliseconds outOfRotation { 2'000 };
    for (const auto proofAge : { milliseconds(100), milliseconds(500), milliseconds(700) })
        CHECK(readyUntil(proofAge, false) + outOfRotation <= keysRefusedAfter - proofAge);
}

TEST_CASE("an outage of the store takes no VM out sooner than before")
{
    CHECK(readyUntil(milliseconds(0), true) == milliseconds(2'600));
    CHECK(isReady({ false, true, milliseconds(1'500), std::nullopt }));
}

TEST_CASE("silence between the zones does not matter to a VM that has new proofs itself")
{
    CHECK(isReady({ false, true, milliseconds(900), milliseconds(5'000) }));
}

TEST_CASE("a VM that stops, or knows nothing yet, is not ready")
{
    CHECK_FALSE(isReady({ true, true, milliseconds(0), milliseconds(0) }));
    CHECK_FALSE(isReady({ false, false, milliseconds(0), milliseconds(0) }));
    CHECK_FALSE(isReady({ false, true, std::nullopt, std::nullopt }));
}
