// The arbiter of a limit grants no more than the limit allows, however many processes ask and how often, and
// grants to more urgent requests first.
#include "policy/limits/limit_arbiter.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <limits>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

constexpr server_hash server = 7;
const instant zero { std::chrono::hours(1) };

instant at(int ms) { return zero + milliseconds(ms); }

} // namespace

TEST_CASE("grants stay within a limit, however many processes ask and how often")
{
    const bool kept = rc::check("no window sees more grants than its limit allows", [] {
        const double limit = *rc::gen::elementOf(std::vector<double> { 0.2, 1, 1.3, 5, 40, 300 });
        const auto pauses = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(0, 120));
        const auto wanted = *rc::gen::container<std::vector<int>>(400, rc::gen::inRange(1, 51));
        limit_arbiter arbiter;
        std::vector<std::pair<int, int>> granted;
        int now = 0;
        for (std::size_t i = 0; i < pauses.size(); ++i) {
            now += pauses[i];
            const std::string requester = "vm" + std::to_string(i % 9);
            granted.emplace_back(now, arbiter.answer(requester, { server, wanted[i], 0 }, limit, at(now)).granted);
        }
        constexpr int window = 5'000;
        for (const auto& [begin, first] : granted) {
            int sum = 0;
            for (const auto& [when, count] : granted)
                sum += when >= begin && when < begin + window ? count : 0;
            // Grants are used within a second, so these reach the server within a window of four seconds or more.
            RC_ASSERT(sum <= 1.5 * limit * 4 + 5);
        }
    });
    CHECK(kept);
}

TEST_CASE("an arbiter that knows half of the fleet grants half")
{
    limit_arbiter whole;
    limit_arbiter half;
    whole.recordFleetSize(6, at(0));
    half.recordFleetSize(6, at(0));
    int granted = 0;
    int grantedByHalf = 0;
    for (int now = 0; now < 20'000; now += 100) {
        half.recordFleetSize(3, at(now));
        granted += whole.answer("vm", { server, 50, 0 }, 10, at(now)).granted;
        grantedByHalf += half.answer("vm", { server, 50, 0 }, 10, at(now)).granted;
    }
    CHECK(granted >= 170);
    CHECK(grantedByHalf <= granted / 2 + 2);
    // After a while the smaller fleet counts as the whole fleet.
    half.recordFleetSize(3, at(40'000));
    half.answer("vm", { server, 50, 0 }, 10, at(40'000));
    CHECK(half.answer("vm", { server, 50, 0 }, 10, at(41'000)).granted >= 8);
}

TEST_CASE("scarce grants go to the more urgent requests, the rest to the others")
{
    limit_arbiter arbiter;
    int urgent = 0;
    int other = 0;
    for (int now = 0; now < 20'000; now += 50) {
        other += arbiter.answer("a", { server, 1, 3 }, 1, at(now)).granted;
        urgent += arbiter.answer("b", { server, 1, 0 }, 1, at(now)).granted;
    }
    CHECK(urgent >= 16);
    CHECK(other <= 2);
    for (int now = 20'000; now < 40'000; now += 50)
        other += arbiter.answer("a", { server, 1, 3 }, 1, at(now)).granted;
    CHECK(other >= 14);
}

TEST_CASE("a server with a limit of zero gets a request now and then, so that the end of the limit is found")
{
    limit_arbiter arbiter;
    int granted = 0;
    for (int now = 0; now < 60'000; now += 200)
        granted += arbiter.answer("a", { server, 5, 0 }, 0, at(now)).granted;
    CHECK(granted >= 4);
    CHECK(granted <= 8);
}

TEST_CASE("a limit beyond any number of requests holds nobody up")
{
    for (const double limit : { 1e9, 1e10, 1e300, std::numeric_limits<double>::infinity() }) {
        limit_arbiter arbiter;
        arbiter.answer("a", { server, 3, 0 }, limit, at(0));
        CHECK_MESSAGE(arbiter.answer("a", { server, 3, 0 }, limit, at(1'000)).granted == 3, limit);
    }
}
