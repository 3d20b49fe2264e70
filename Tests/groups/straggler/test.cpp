// Guards against a persistently slow rank that is not found, and against ranks with a short stall that
// count as stragglers.

#include "policy/groups/straggler_detector.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

TEST_CASE("a persistently slow rank is found, whatever the common speed of the others")
{
    CHECK(rc::check("straggler", [] {
        const auto ranks = *rc::gen::inRange<std::size_t>(4, 33);
        const auto slow = *rc::gen::inRange<std::size_t>(0, ranks);
        const double pace = *rc::gen::inRange(1, 1'000);
        straggler_detector detector(ranks, 3);
        for (int interval = 0; interval < 6; ++interval) {
            std::vector<double> times;
            for (std::size_t rank = 0; rank < ranks; ++rank)
                times.push_back(pace * (1 + *rc::gen::inRange(0, 20) / 1'000.0) * (rank == slow ? 1.5 : 1));
            detector.observe(times);
        }
        for (std::size_t rank = 0; rank < ranks; ++rank)
            RC_ASSERT(detector.verdicts()[rank].straggler == (rank == slow));
        RC_ASSERT(detector.speeds()[slow] < 0.75);
    }));
}

TEST_CASE("short stalls do not change the speeds")
{
    straggler_detector detector(8, 3);
    for (std::size_t interval = 0; interval < 40; ++interval) {
        std::vector<double> times(8, 10.0);
        // Another rank stalls in each interval, one of them twice in a row.
        times[interval % 8] = 50;
        times[(interval + 7) % 8] = interval % 5 == 0 ? 50 : 10;
        detector.observe(times);
        CHECK(detector.speeds() == std::vector<double>(8, 1.0));
    }
}
