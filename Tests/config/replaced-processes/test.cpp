// Fault: the readers of the configuration are killed and replaced, and the service dies.

#include "harness/test_fleet.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace rampgap::test;

TEST_CASE("killed readers are replaced and a change still comes in force everywhere")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    for (const std::string name : { "e1", "e2", "e3", "e4" })
        fleet.addEntry(name, "lac");
    fleet.startServing();
    int killed = 0;
    for (const std::string name : { "e1", "e2", "e3", "e4" }) {
        const bool reader = get(fleet.entry(name).address(), "/operator/status", operatorKey).body.find("\"reader\":true") != std::string::npos;
        if (!reader)
            continue;
        fleet.entry(name).kill();
        ++killed;
    }
    CHECK(killed == 2);
    const auto second = fleet.publish(fleet.declarationBody({ { "a1", "checks_fencing = yes" } }));
    // Those left hear from nobody that the service has news, so they read it themselves.
    CHECK(fleet.waitRevision(second));
}
