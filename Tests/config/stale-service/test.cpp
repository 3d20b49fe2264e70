// Fault: the configuration service goes back to an older state, or is down, for long.

#include "harness/test_fleet.h"

#include <doctest/doctest.h>

using namespace rampgap::test;

TEST_CASE("a stale or dead service takes no process back, and healing brings the latest")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addBackend({ "a2", "lac", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.addEntry("e2", "lac");
    fleet.startServing();
    const auto second = fleet.publish(fleet.declarationBody({ { "a1", "draining = yes" } }));
    REQUIRE(fleet.waitRevision(second));
    const std::string platform = fleet.platform().address();

    SUBCASE("stale while an entry VM is replaced: the new one learns the latest from its peers")
    {
        post(platform, "/standin/faults?stale_at=1");
        fleet.restartEntry("e2");
        CHECK(fleet.waitRevision(second));
    }
    SUBCASE("stale while an agent is replaced")
    {
        post(platform, "/standin/faults?stale_at=1");
        fleet.restartAgent("a2");
        CHECK(fleet.waitRevision(second));
    }
    SUBCASE("down for a while, then back with a later revision")
    {
        post(platform, "/standin/faults?down=1");
        CHECK(test_client(fleet.entry("e1").address()).send(completion(smallKey, "assistant", "x", 1, false)).status == 200);
        post(platform, "/standin/faults?down=0");
    }
    CHECK(fleet.revision(fleet.entry("e1").address()) == second);
    post(platform, "/standin/faults?stale_at=off");
    CHECK(fleet.waitRevision(fleet.publish(fleet.declarationBody())));
}
