// Fault: the readers of the configuration are killed and replaced, and the service dies.

#include "harness/test_fleet.h"

#include <csignal>
#include <doctest/doctest.h>
#include <string>
#include <vector>

using namespace rampgap::test;

TEST_CASE("killed readers are replaced and a change still comes in force everywhere")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    for (const std::string name : { "e1", "e2", "e3", "e4" })
        fleet.addEntry(name, "lac");
    fleet.startServing();
    // All are asked before one is killed: another takes a killed reader's place within milliseconds.
    std::vector<std::string> readers;
    for (const std::string name : { "e1", "e2", "e3", "e4" }) {
        if (get(fleet.entry(name).address(), "/operator/status", operatorKey).body.find("\"reader\":true") != std::string::npos)
            readers.push_back(name);
    }
    CHECK(readers.size() == 2);
    for (const auto& name : readers)
        fleet.entry(name).kill();
    const auto second = fleet.publish(fleet.declarationBody({ { "a1", "checks_fencing = yes" } }));
    // Those left hear from nobody that the service has news, so they read it themselves.
    CHECK(fleet.waitRevision(second));
}
