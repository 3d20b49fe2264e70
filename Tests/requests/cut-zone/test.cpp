// Fault: a zone is cut off from the others and from the platform.

#include "harness/test_fleet.h"

#include <doctest/doctest.h>

using namespace rampgap::test;

TEST_CASE("cut zone: each side serves what it can and no id runs twice")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addBackend({ "a2", "ariana", "assistant", 8, {} });
    fleet.addBackend({ "s1", "lac", "filings", 8, {} });
    fleet.addBackend({ "s2", "ariana", "filings", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.addEntry("e2", "ariana");
    fleet.startServing();
    REQUIRE(fleet.waitProven("/filings"));

    fleet.cut({ "e2", "a2", "s2" }, { "e1", "a1", "s1" }, true);
    test_client first(fleet.entry("e1").address());
    test_client second(fleet.entry("e2").address());
    int served = 0;
    constexpr int ids = 60;
    for (int i = 0; i < ids; ++i) {
        const std::string id = "cut" + std::to_string(i);
        for (auto* side : { &first, &second }) {
            const auto answer = side->send(onceCall(smallKey, "/filings", id, "x"));
            served += answer.status == 200 ? 1 : 0;
            if (answer.status != 200) {
                CHECK(answer.header("Rampgap-Verdict") == "not_run");
                CHECK(!answer.header("Retry-After").empty());
            }
        }
        CHECK(fleet.runsOf("small", id) == 1);
    }
    // Each id has its home on one side and was sent to both.
    CHECK(served == ids);
    // Model requests run on both sides.
    CHECK(first.send(completion(smallKey, "assistant", "x", 2, false)).status == 200);
    CHECK(second.send(completion(smallKey, "assistant", "x", 2, false)).status == 200);
    fleet.heal();
    CHECK(eventually([&] { return second.send(onceCall(smallKey, "/filings", "healed-0", "x")).status == 200; }));
    for (int i = 1; i < 20; ++i)
        CHECK(second.send(onceCall(smallKey, "/filings", "healed-" + std::to_string(i), "x")).status == 200);
}
