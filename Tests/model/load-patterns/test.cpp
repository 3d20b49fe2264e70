// The load patterns that the policies answer, on the model of the fleet with fixed seeds: each
// gain is replayed with and without the rule that brings it.
#include "model/fleet_run.h"

#include <doctest/doctest.h>

using namespace rampgap;
using namespace rampgap::model;

namespace {

constexpr std::uint64_t seeds = 2;

scenario load(const std::string& name)
{
    const auto read = scenario::read(std::string(RAMPGAP_SOURCE) + "/Examples/model/scenarios/" + name + ".ini");
    REQUIRE(read);
    return read.value();
}

struct figures {
    double worth = 0;
    double unserved = 0;
    double copies = 0;
    double secondTries = 0;
};

figures meanOf(const scenario& given, const ways& chosen)
{
    figures mean;
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        const outcome seen = runFleet(given, chosen, seed);
        mean.worth += seen.worth() / seeds;
        mean.unserved += seen.unserved() / seeds;
        mean.copies += static_cast<double>(seen.copies) / seeds;
        mean.secondTries += static_cast<double>(seen.secondTries) / seeds;
    }
    return mean;
}

} // namespace

TEST_CASE("the same seed gives the same outcome, another one another")
{
    const scenario given = load("lost_answers");
    CHECK(toJson(runFleet(given, {}, 7)) == toJson(runFleet(given, {}, 7)));
    CHECK_FALSE(runFleet(given, {}, 7) == runFleet(given, {}, 8));
}

TEST_CASE("figures")
{
    for (const std::string name : { "shifts", "zone_cut", "slow_rank", "lost_answers", "slow_all", "start_of_all", "closures", "burst" }) {
        const scenario given = load(name);
        const auto all = meanOf(given, {});
        MESSAGE(name << " daemons worth " << all.worth << " unserved " << all.unserved << " copies " << all.copies << " tries " << all.secondTries);
        const auto show = [&](const char* what, auto change) {
            ways chosen;
            change(chosen);
            const auto seen = meanOf(given, chosen);
            MESSAGE(name << "   " << what << " worth " << seen.worth << " unserved " << seen.unserved << " copies " << seen.copies << " tries " << seen.secondTries);
        };
        show("no reach", [](ways& w) { w.groupReach = false; });
        show("no pass", [](ways& w) { w.groupsByPass = false; });
        show("no last chance", [](ways& w) { w.lastChanceNth = 0; });
        show("first event none", [](ways& w) { w.firstEvent = silence_way::none; });
        show("first event constant", [](ways& w) { w.firstEvent = silence_way::constant; });
        show("silence", [](ways& w) { w.silenceOfOneGroup = false; });
        show("long waits", [](ways& w) { w.endsLongWaits = false; });
        show("eager copies", [](ways& w) { w.leastGainAtEase = 0.053; });
    }
}
