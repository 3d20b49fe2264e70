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

TEST_CASE("a slow rank: its group comes last, and the others serve in time")
{
    const scenario given = load("slow_rank");
    ways rankByRank;
    rankByRank.groupsByPass = false;
    CHECK(meanOf(given, {}).worth >= meanOf(given, rankByRank).worth + 0.01);
}

TEST_CASE("a zone that is cut off: streams of its group go on in another in time")
{
    const scenario given = load("zone_cut");
    ways patient;
    patient.silenceOfOneGroup = false;
    CHECK(meanOf(given, {}).worth >= meanOf(given, patient).worth + 0.002);
}

TEST_CASE("shifts of demand: half of the copies, and callers notice nothing")
{
    const scenario given = load("shifts");
    ways eager;
    eager.minGainWithHeadroom = eager.minGain;
    const figures now = meanOf(given, {});
    const figures before = meanOf(given, eager);
    CHECK(now.copies <= before.copies * 0.65);
    CHECK(now.worth >= before.worth - 0.002);
}

TEST_CASE("lost answers: a learnt limit serves more in time than none or a constant")
{
    const scenario given = load("lost_answers");
    ways none;
    none.firstEvent = silence_way::none;
    ways constant;
    constant.firstEvent = silence_way::constant;
    const figures now = meanOf(given, {});
    CHECK(now.worth >= meanOf(given, none).worth + 0.008);
    CHECK(now.worth >= meanOf(given, constant).worth + 0.008);
}

TEST_CASE("all engines three times slower: no storm of second tries")
{
    const scenario given = load("slow_all");
    ways none;
    none.firstEvent = silence_way::none;
    const figures now = meanOf(given, {});
    // Of some 4,200 callers.
    CHECK(now.secondTries <= 150);
    CHECK(now.unserved <= meanOf(given, none).unserved + 0.01);
}
