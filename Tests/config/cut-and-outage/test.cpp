// Fault: a zone is cut off while the declaration changes.

#include "harness/test_fleet.h"

#include <doctest/doctest.h>

using namespace rampgap::test;

TEST_CASE("a cut zone serves on with its revision and takes up the latest on healing")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addBackend({ "a2", "ariana", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.addEntry("e2", "ariana");
    fleet.startServing();
    fleet.cut({ "e2", "a2" }, { "e1", "a1" }, true);
    const auto second = fleet.publish(fleet.declarationBody({ { "a1", "checks_fencing = yes" } }));
    CHECK(eventually([&] { return fleet.revision(fleet.entry("e1").address()) == second && fleet.revision(fleet.agent("a1").address()) == second; }));
    CHECK(fleet.revision(fleet.entry("e2").address()) == 1);
    CHECK(test_client(fleet.entry("e2").address()).send(completion(smallKey, "assistant", "x", 1, false)).status == 200);

    // A caller who has seen the later revision is not served by the older view.
    auto request = completion(smallKey, "assistant", "x", 1, false);
    request.headers.emplace_back("Rampgap-Revision-Seen", std::to_string(second));
    CHECK(test_client(fleet.entry("e1").address()).send(request).status == 200);
    const auto refused = test_client(fleet.entry("e2").address()).send(request);
    CHECK(refused.status == 503);
    CHECK(refused.header("Rampgap-Reason") == "stale_revision");
    fleet.heal();
    CHECK(fleet.waitRevision(second));
    CHECK(test_client(fleet.entry("e2").address()).send(request).status == 200);
}
