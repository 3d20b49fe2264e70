// The encoding of placements is lossless and compact, and truncated or extended bytes are rejected.
#include "gateway/groups/placement_codec.h"
#include "policy/groups/placement_planner.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

TEST_CASE("a packed placement is unpacked unchanged")
{
    CHECK(rc::check([] {
        const auto sets = *rc::gen::inRange<std::size_t>(0, 5);
        const auto ranks = *rc::gen::inRange<std::size_t>(1, 5);
        const auto highest = *rc::gen::element<std::uint16_t>(10, 255, 256, 1'000);
        group_placement placement(sets, std::vector<std::vector<std::uint16_t>>(ranks));
        for (auto& set : placement) {
            for (auto& experts : set)
                experts = *rc::gen::container<std::vector<std::uint16_t>>(rc::gen::inRange<std::uint16_t>(0, static_cast<std::uint16_t>(highest + 1)));
        }
        const auto unpacked = unpackPlacement(packPlacement(placement));
        RC_ASSERT(unpacked.has_value());
        RC_ASSERT(*unpacked == placement);
    }));
}

TEST_CASE("truncated bytes and extra bytes are rejected")
{
    const std::string bytes = packPlacement(initialPlacement(2, 6, 3));
    for (std::size_t size = 0; size < bytes.size(); ++size)
        CHECK_FALSE(unpackPlacement(bytes.substr(0, size)).has_value());
    CHECK_FALSE(unpackPlacement(bytes + "x").has_value());
}

TEST_CASE("a placement of the planned size takes little more than a byte per expert")
{
    const auto placement = initialPlacement(8, 252, 63);
    CHECK(packPlacement(placement).size() < 8 * 252 + 8 * 63 + 10);
}
