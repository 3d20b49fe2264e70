// Load pattern: 149 entry VMs choose among 129 ranks by counts that are 0.1 to 0.3 s old.
#include "fleet_model.h"

#include <doctest/doctest.h>

using namespace rampgap;

TEST_CASE("with 0.7 of the slots taken few requests wait long at a full rank while others have free slots")
{
    fleet_load load;
    load.requestsPerSecond = 350;
    wait_shares mean;
    for (std::uint32_t seed = 1; seed <= 3; ++seed) {
        const wait_shares seen = runFleet(load, milliseconds(20'000), seed);
        mean.late += seen.late / 3;
        mean.queued += seen.queued / 3;
    }
    // With six servers compared instead of four: 0.032 and 0.074.
    CHECK(mean.late < 0.026);
    CHECK(mean.queued < 0.068);
}

TEST_CASE("counts that come twice as often halve the waits")
{
    fleet_load load;
    load.requestsPerSecond = 350;
    load.pollInterval = milliseconds(100);
    load.pollDelay = milliseconds(70);
    CHECK(runFleet(load, milliseconds(20'000), 1).late < 0.014);
}

TEST_CASE("small groups are served as well: 12 ranks, 7 entry VMs")
{
    fleet_load load { 7, 12, 12, 56, 1'900, milliseconds(100), milliseconds(60) };
    CHECK(runFleet(load, milliseconds(20'000), 1).late < 0.01);
}

TEST_CASE("in one group the longest gap that callers accept changes nothing")
{
    fleet_load load;
    load.requestsPerSecond = 350;
    const wait_shares any = runFleet(load, milliseconds(20'000), 1);
    load.longestGap = milliseconds(200);
    CHECK(runFleet(load, milliseconds(20'000), 1).late == any.late);
}
