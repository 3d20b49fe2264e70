// Fault: processes are frozen while the declaration changes.

#include "harness/test_fleet.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace rampgap::test;

TEST_CASE("a frozen process wakes with its old revision and only rises")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    for (const std::string name : { "e1", "e2", "e3" })
        fleet.addEntry(name, "lac");
    fleet.startServing();
    // Whichever two read the service, one of the frozen may be a reader.
    fleet.entry("e1").signal(SIGSTOP);
    fleet.entry("e2").signal(SIGSTOP);
    std::uint64_t last = 1;
    for (int i = 0; i < 3; ++i)
        last = fleet.publish(fleet.declarationBody({ { "a1", i % 2 == 0 ? "checks_fencing = yes" : "" } }));
    CHECK(eventually([&] { return fleet.revision(fleet.entry("e3").address()) == last; }, std::chrono::seconds(30)));
    fleet.entry("e1").signal(SIGCONT);
    fleet.entry("e2").signal(SIGCONT);
    CHECK(fleet.waitRevision(last));
}
