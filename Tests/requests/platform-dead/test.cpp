// Fault: the configuration service and the VM list are gone.

#include "harness/test_fleet.h"

#include <doctest/doctest.h>

using namespace rampgap::test;

TEST_CASE("without the platform requests are served, also ids, and replaced entry VMs start from peers")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addBackend({ "s1", "lac", "filings", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.startServing();
    REQUIRE(fleet.waitProven("/filings"));
    fleet.platform().kill();
    test_client client(fleet.entry("e1").address());
    for (int i = 0; i < 50; ++i) {
        CHECK(client.send(completion(smallKey, "assistant", "p", 2, i % 2 == 0)).status == 200);
        CHECK(client.send(onceCall(smallKey, "/filings", "p" + std::to_string(i), "x")).status == 200);
    }
}
