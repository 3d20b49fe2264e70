// A part of prompts that crashes every server which begins to answer it is blocked, though no two requests with
// it are alike; sound requests that share their other parts are not.
#include "policy/requests/crash_history.h"

#include <cmath>
#include <doctest/doctest.h>
#include <random>
#include <vector>

using namespace rampgap;

namespace {

const instant zero {};
constexpr milliseconds wave { 4'200 };
// Long enough for a process to know which parts are survived.
constexpr milliseconds warmUp { 20'000 };

request_fingerprint part(std::uint64_t number)
{
    return { 1'000 + number };
}

constexpr request_fingerprint crashing { 7 };

// What one entry VM knows, with requests that are all different.
class known_crashes {
public:
    void crash(std::vector<request_fingerprint> parts, std::uint32_t server, instant now)
    {
        parts.push_back(fresh());
        history.recordCrash(fresh(), server, 0, now);
        history.recordPartsCrashed(parts, server, 0, now);
    }

    void survive(std::vector<request_fingerprint> parts, instant now)
    {
        parts.push_back(fresh());
        history.recordPartsSurvived(parts, now);
    }

    bool maySend(std::vector<request_fingerprint> parts, instant now, bool closesGroup = true)
    {
        parts.push_back(fresh());
        return !history.refuse({ fresh(), closesGroup, false, parts }, now);
    }

    crash_history history;

private:
    request_fingerprint fresh() { return { m_random() }; }

    std::mt19937_64 m_random { 9 };
};

// A VM that has seen some popular parts survived for a while.
known_crashes warmedUp()
{
    known_crashes known;
    for (std::uint64_t number = 0; number < 20; ++number) {
        known.survive({ part(number) }, zero);
        known.survive({ part(number) }, zero + warmUp);
    }
    return known;
}

void exchange(crash_history& from, crash_history& to, instant now)
{
    for (const auto& [record, age] : from.takeUpdates(1'000, now))
        to.merge(record, age, now);
}

} // namespace

TEST_CASE("different requests with one part crash servers at two moments: the part is blocked, its neighbours are not")
{
    auto known = warmedUp();
    const instant first = zero + warmUp;
    for (std::uint32_t server = 0; server < 2; ++server) {
        const instant now = first + server * wave;
        known.crash({ part(server), crashing }, server, now);
        // A sound request began beside it on both servers, with the same first part on each.
        known.crash({ part(5) }, server, now);
    }
    const instant after = first + wave + milliseconds(1);
    CHECK_FALSE(known.maySend({ part(9), crashing }, after));
    CHECK_FALSE(known.maySend({ crashing }, after, false));
    for (std::uint64_t number = 0; number < 20; ++number)
        CHECK(known.maySend({ part(number) }, after));
}

TEST_CASE("where a crash closes a group, one crash is enough to refuse a part that was never survived")
{
    auto known = warmedUp();
    const instant now = zero + warmUp;
    known.crash({ part(1), crashing }, 1, now);
    CHECK_FALSE(known.maySend({ part(2), crashing }, now + wave));
    CHECK(known.maySend({ part(1) }, now + wave));
    CHECK(known.maySend({ part(2), crashing }, now + wave, false));
    // One crash may have had another cause, so that this ends.
    CHECK(known.maySend({ part(2), crashing }, now + milliseconds(60'000)));
}

TEST_CASE("a process that has just started refuses no part after one crash")
{
    known_crashes known;
    known.survive({ part(1) }, zero);
    known.crash({ part(2), crashing }, 1, zero + milliseconds(500));
    CHECK(known.maySend({ part(2) }, zero + milliseconds(600)));
}

TEST_CASE("a first part that always comes with the crashing one is not blocked with it")
{
    known_crashes known;
    for (std::uint32_t server = 0; server < 3; ++server)
        known.crash({ part(1), crashing }, server, zero + server * wave);
    const instant after = zero + 2 * wave + milliseconds(1);
    CHECK_FALSE(known.maySend({ part(1), crashing }, after));
    CHECK(known.maySend({ part(1) }, after));
}

TEST_CASE("if the first part is the cause, one more crash shows it")
{
    known_crashes known;
    for (std::uint32_t server = 0; server < 2; ++server)
        known.crash({ crashing, part(1) }, server, zero + server * wave);
    CHECK_FALSE(known.maySend({ crashing, part(1) }, zero + wave));
    known.crash({ crashing, part(2) }, 2, zero + 2 * wave);
    CHECK_FALSE(known.maySend({ crashing, part(3) }, zero + 2 * wave));
    CHECK(known.maySend({ part(1) }, zero + 2 * wave));
}

TEST_CASE("three crashing parts at a time are blocked after three crashes each, and no popular part is")
{
    auto known = warmedUp();
    std::uint32_t server = 0;
    instant now = zero + warmUp;
    std::mt19937_64 random(5);
    for (int round = 0; round < 3; ++round, now += wave) {
        for (std::uint64_t cause = 0; cause < 3; ++cause) {
            ++server;
            known.crash({ part(random() % 20), { 10 + cause } }, server, now);
            for (int beside = 0; beside < 8; ++beside)
                known.crash({ part(random() % 20) }, server, now);
        }
    }
    for (std::uint64_t cause = 0; cause < 3; ++cause)
        CHECK_FALSE(known.maySend({ part(19), { 10 + cause } }, now));
    for (std::uint64_t number = 0; number < 20; ++number)
        CHECK(known.maySend({ part(number) }, now));
}

TEST_CASE("servers that crash together for another reason block no part that runs on most of them")
{
    auto known = warmedUp();
    const instant now = zero + warmUp + milliseconds(100);
    for (std::uint32_t server = 0; server < 10; ++server)
        known.crash({ part(1) }, server, now);
    CHECK(known.maySend({ part(1) }, now + wave));
}

TEST_CASE("a new part on two of ten servers that crash together is not blocked")
{
    auto known = warmedUp();
    const instant now = zero + warmUp;
    for (std::uint32_t server = 0; server < 10; ++server)
        known.crash(server < 2 ? std::vector<request_fingerprint> { crashing } : std::vector<request_fingerprint> { part(1) }, server, now);
    CHECK(known.maySend({ part(1), crashing }, now + wave));
}

TEST_CASE("a part that was survived before and crashes servers from some time on is blocked within five crashes")
{
    auto known = warmedUp();
    known.survive({ part(1), crashing }, zero + warmUp);
    std::uint32_t crashes = 0;
    instant now = zero + warmUp + milliseconds(500);
    for (; known.maySend({ part(2), crashing }, now) && crashes < 10; now += wave)
        known.crash({ part(2), crashing }, ++crashes, now);
    CHECK(crashes <= 5);
    CHECK(known.maySend({ part(2) }, now));
}

TEST_CASE("a VM that knows that a part is survived takes the blame from it everywhere")
{
    known_crashes restarted;
    auto running = warmedUp();
    const instant now = zero + warmUp;
    for (std::uint32_t server = 0; server < 2; ++server)
        restarted.crash({ part(1) }, server, now + server * wave);
    CHECK_FALSE(restarted.maySend({ part(1) }, now + wave));
    exchange(restarted.history, running.history, now + wave);
    CHECK(running.maySend({ part(1) }, now + wave));
    exchange(running.history, restarted.history, now + wave);
    CHECK(restarted.maySend({ part(1) }, now + wave));
}

TEST_CASE("a VM that is started after the crashes learns the part, also beside two others")
{
    auto known = warmedUp();
    std::uint32_t server = 0;
    instant now = zero + warmUp;
    for (int round = 0; round < 5; ++round, now += wave) {
        for (std::uint64_t cause = 0; cause < 3; ++cause)
            known.crash({ part(cause), { 10 + cause } }, ++server, now);
    }
    known_crashes restarted;
    for (const auto& [record, age] : known.history.repeated(now))
        restarted.history.merge(record, age, now);
    for (std::uint64_t cause = 0; cause < 3; ++cause)
        CHECK_FALSE(restarted.maySend({ part(9), { 10 + cause } }, now));
    CHECK(restarted.maySend({ part(9) }, now));
}

TEST_CASE("a part that was blocked by coincidence is sent again by one process and is then free")
{
    known_crashes known;
    bool chosen = false;
    known.history.setIsolatedAttemptFilter([&chosen](request_fingerprint) { return chosen; });
    for (std::uint32_t server = 0; server < 2; ++server)
        known.crash({ part(1) }, server, zero + server * wave);
    const instant later = zero + wave + milliseconds(60'000);
    CHECK_FALSE(known.maySend({ part(1) }, later - milliseconds(1)));
    CHECK_FALSE(known.maySend({ part(1) }, later));
    chosen = true;
    REQUIRE(known.maySend({ part(1) }, later));
    CHECK(known.history.beginIsolatedAttempt(part(1), later));
    CHECK_FALSE(known.maySend({ part(1) }, later));
    known.survive({ part(1) }, later);
    known.history.endIsolatedAttempt(part(1), false, later);
    chosen = false;
    CHECK(known.maySend({ part(1) }, later));
}

TEST_CASE("in a fleet of 1,000 VMs a blocked part is tried again within a minute, by few of them")
{
    // Each VM gets a request with the part every 40 s to 2.8 hours. Whether a trial crashes its server is known everywhere after half a second.
    constexpr std::size_t vms = 1'000;
    constexpr milliseconds step { 100 };
    constexpr milliseconds known { 500 };
    for (const double perSecond : { 25.0, 1.0, 0.1 }) {
        std::mt19937_64 random(3);
        std::vector<known_crashes> fleet(vms);
        for (std::size_t vm = 0; vm < vms; ++vm) {
            fleet[vm].history.setIsolatedAttemptFilter([vm](request_fingerprint) { return vm == 17; });
            for (std::uint32_t server = 0; server < 2; ++server)
                fleet[vm].history.recordPartsCrashed({ crashing, part(server) }, server, 0, zero + server * wave);
        }
        const instant ended = zero + wave + milliseconds(60'000);
        std::optional<instant> first;
        int tried = 0;
        for (instant now = ended; now < ended + milliseconds(120'000) && (!first || now < *first + known); now += step) {
            for (double due = perSecond / 10; std::uniform_real_distribution<double>()(random) < due; due -= 1) {
                auto& history = fleet[random() % vms].history;
                if (history.refuse({ { random() }, true, false, { crashing } }, now))
                    continue;
                history.beginIsolatedAttempt(crashing, now);
                first = first.value_or(now);
                ++tried;
            }
        }
        REQUIRE(first);
        MESSAGE(perSecond << " requests a second: tried after " << std::chrono::duration_cast<milliseconds>(*first - ended).count() << " ms, " << tried << " at a time");
        CHECK(*first - ended <= milliseconds(60'000));
        CHECK(tried <= 3);
    }
}

TEST_CASE("copies of one request are blamed on the request, not on the parts that it shares")
{
    known_crashes known;
    constexpr request_fingerprint copy { 3 };
    for (std::uint32_t server = 0; server < 2; ++server) {
        known.history.recordCrash(copy, server, 0, zero + server * wave);
        known.history.recordPartsCrashed({ part(1), part(2) }, server, 0, zero + server * wave);
    }
    CHECK(known.history.refuse({ copy, true, false, { part(1), part(2) } }, zero + wave));
    CHECK(known.maySend({ part(1) }, zero + wave));
}

TEST_CASE("no popular part is refused while 400 crashes of servers strike by chance")
{
    // Load pattern: 48 servers with a dozen requests each crash one after the other or several at once; half of the
    // requests on them have just begun. Parts are as popular as the users' prompts, most of them survived before.
    std::mt19937_64 random(20261204);
    const auto draw = [&random] { return static_cast<std::uint64_t>(60 * std::pow(std::uniform_real_distribution<double>()(random), 2)); };
    known_crashes known;
    std::uint32_t server = 0;
    int refused = 0;
    int asked = 0;
    for (instant now = zero; now < zero + std::chrono::minutes(20); now += milliseconds(3'000)) {
        for (int request = 0; request < 100; ++request) {
            const auto popular = part(draw());
            ++asked;
            refused += known.maySend({ popular }, now) ? 0 : 1;
            known.survive({ popular }, now);
        }
        for (std::uint64_t crashed = 0; crashed < random() % 3; ++crashed) {
            ++server;
            for (int beside = 0; beside < 6; ++beside)
                known.crash({ part(draw()) }, server, now + milliseconds(10));
        }
        known.history.expire(now);
    }
    MESSAGE("servers crashed: " << server << ", sound requests refused: " << refused << " of " << asked);
    CHECK(refused <= asked / 500);
}
