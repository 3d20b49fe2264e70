// Fault: an agent is killed and comes back with empty memory.

#include "harness/test_fleet.h"

#include <csignal>
#include <doctest/doctest.h>

using namespace rampgap::test;

TEST_CASE("kill of an agent: no id of before runs again, new ids run after the id life")
{
    test_fleet fleet;
    fleet.setRules("[rules]\nid_life_ms = 4000\n");
    fleet.addBackend({ "s1", "lac", "filings", 8, {} });
    fleet.addBackend({ "s2", "charguia", "filings", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.addEntry("e2", "charguia");
    fleet.startServing();
    REQUIRE(fleet.waitProven("/filings"));

    test_client first(fleet.entry("e1").address());
    test_client second(fleet.entry("e2").address());
    for (int i = 0; i < 20; ++i)
        CHECK(first.send(onceCall(smallKey, "/filings", "id" + std::to_string(i), "deferral")).status == 200);
    // A repeat by another entry VM gets the stored answer.
    const auto repeat = second.send(onceCall(smallKey, "/filings", "id3", "deferral"));
    CHECK(repeat.status == 200);
    CHECK(repeat.body == "echo:deferral");
    CHECK(second.send(onceCall(smallKey, "/filings", "id3", "another body")).status == 422);

    fleet.agent("s1").kill();
    fleet.restartAgent("s1");
    fleet.waitRevision(1);
    int refused = 0;
    for (int i = 0; i < 20; ++i) {
        const auto again = second.send(onceCall(smallKey, "/filings", "id" + std::to_string(i), "deferral"));
        if (again.status != 200) {
            ++refused;
            CHECK(again.header("Rampgap-Verdict") == "not_run");
            CHECK(!again.header("Retry-After").empty());
        }
    }
    MESSAGE("refused while unproven: " << refused << " of 20");
    CHECK(refused > 0);
    for (int i = 0; i < 20; ++i)
        CHECK(fleet.runsOf("small", "id" + std::to_string(i)) == 1);
    CHECK(fleet.waitProven("/filings"));
}
