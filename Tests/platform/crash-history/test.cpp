// Which requests are blocked when servers crash.
#include "policy/requests/crash_history.h"

#include <algorithm>
#include <array>
#include <doctest/doctest.h>
#include <random>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

const instant zero {};
constexpr std::uint64_t manyEvents = 8;

request_fingerprint request(std::uint64_t number)
{
    return { number };
}

bool isBlocked(const crash_history& history, request_fingerprint which, instant now = zero)
{
    return history.blockedFor(which, now).has_value();
}

} // namespace

TEST_CASE("a request under which two servers crashed as it began is blocked, requests that ran beside it are not")
{
    // Load pattern: a caller repeats one request every 4 s, at servers that run a dozen others.
    crash_history history;
    const auto cause = request(1);
    for (const std::uint32_t server : { 10U, 11U }) {
        CHECK_FALSE(isBlocked(history, cause));
        history.recordCrash(cause, server, 0, zero);
        for (std::uint64_t neighbour = 0; neighbour < 11; ++neighbour)
            history.recordCrash(request(100 * server + neighbour), server, neighbour % 3 == 0 ? 0 : manyEvents, zero);
    }
    CHECK(isBlocked(history, cause));
    CHECK(history.blocked(zero) == std::vector<request_fingerprint> { cause });
}

TEST_CASE("a request that ran beside the cause in both crashes is told apart by the third crash")
{
    crash_history history;
    const auto cause = request(1);
    const auto neighbour = request(2);
    for (const std::uint32_t server : { 10U, 11U }) {
        history.recordCrash(cause, server, 0, zero);
        history.recordCrash(neighbour, server, 0, zero);
    }
    CHECK_FALSE(isBlocked(history, cause));
    CHECK_FALSE(isBlocked(history, neighbour));
    history.recordCrash(cause, 12, 0, zero);
    CHECK(isBlocked(history, cause));
    CHECK_FALSE(isBlocked(history, neighbour));
}

TEST_CASE("a request that was already streaming in both crashes is told apart from the cause at once")
{
    crash_history history;
    for (const std::uint32_t server : { 10U, 11U }) {
        history.recordCrash(request(1), server, 0, zero);
        history.recordCrash(request(2), server, manyEvents, zero);
    }
    CHECK(isBlocked(history, request(1)));
    CHECK_FALSE(isBlocked(history, request(2)));
}

TEST_CASE("a request that crashes servers only after some events is blocked after its third crash")
{
    crash_history history;
    for (const std::uint32_t server : { 10U, 11U })
        history.recordCrash(request(1), server, manyEvents, zero);
    CHECK_FALSE(isBlocked(history, request(1)));
    history.recordCrash(request(1), 12, manyEvents, zero);
    CHECK(isBlocked(history, request(1)));
}

TEST_CASE("a request that a server has run to its end is cleared of the crashes before")
{
    crash_history history;
    history.recordCrash(request(1), 10, 0, zero);
    history.recordServed(request(1), zero);
    for (const std::uint32_t server : { 11U, 12U })
        history.recordCrash(request(1), server, 0, zero);
    CHECK_FALSE(isBlocked(history, request(1)));
    // Nor does it explain the crashes under another request.
    for (const std::uint32_t server : { 11U, 12U })
        history.recordCrash(request(2), server, 0, zero);
    CHECK(isBlocked(history, request(2)));
    // Served again, the request is cleared of these crashes as well.
    history.recordServed(request(1), zero);
    for (const std::uint32_t server : { 13U, 14U })
        history.recordCrash(request(1), server, 0, zero);
    CHECK_FALSE(isBlocked(history, request(1)));
}

TEST_CASE("a request that one server version runs and the next one crashes under is blocked after three crashes of the next")
{
    // If one answer cleared a request for good, it would go on to crash each server of the new version.
    crash_history history;
    history.recordCrash(request(1), 10, 0, zero);
    history.recordServed(request(1), zero);
    std::uint32_t server = 11;
    for (; !isBlocked(history, request(1)); ++server) {
        REQUIRE(server < 14);
        history.recordCrash(request(1), server, 0, zero);
    }
    CHECK(server == 14);
    // A peer that merges the records comes to the same result.
    crash_history other;
    for (const auto& [record, age] : history.repeated(zero))
        other.merge(record, age, zero);
    CHECK(isBlocked(other, request(1)));
    CHECK(other.digest() == history.digest());
}

TEST_CASE("servers that crash one by one under different requests block none of these")
{
    crash_history history;
    for (std::uint64_t number = 0; number < 500; ++number)
        history.recordCrash(request(number), static_cast<std::uint32_t>(number / 12), number % 3, zero);
    CHECK(history.blocked(zero).empty());
}

TEST_CASE("a request stays blocked while its caller repeats it, and ten minutes longer")
{
    crash_history history;
    for (const std::uint32_t server : { 10U, 11U })
        history.recordCrash(request(1), server, 0, zero);
    instant now = zero;
    for (int i = 0; i < 10; ++i) {
        now += std::chrono::minutes(9);
        history.expire(now);
        REQUIRE(isBlocked(history, request(1), now));
        history.extendBlock(request(1), now);
    }
    CHECK(history.blockedFor(request(1), now) == std::chrono::minutes(10));
    now += std::chrono::minutes(10);
    CHECK_FALSE(isBlocked(history, request(1), now));
    history.expire(now);
    CHECK(history.size() == 0);
    CHECK(history.digest() == 0);
}

TEST_CASE("the order in which records are merged does not matter")
{
    CHECK(rc::check([] {
        std::vector<crash_record> records;
        const auto count = *rc::gen::inRange(1, 60);
        for (int i = 0; i < count; ++i) {
            const auto number = *rc::gen::inRange<std::uint64_t>(1, 8);
            const auto server = *rc::gen::inRange<std::uint32_t>(1, 14);
            const bool early = *rc::gen::arbitrary<bool>();
            records.push_back({ request(number), { { server, early } }, *rc::gen::inRange(0, 20) == 0 });
        }
        crash_history one;
        crash_history other;
        for (const auto& record : records)
            one.merge(record, milliseconds(0), zero);
        for (auto record = records.rbegin(); record != records.rend(); ++record)
            other.merge(*record, milliseconds(0), zero);
        RC_ASSERT(one.digest() == other.digest());
        RC_ASSERT(one.blocked(zero) == other.blocked(zero));
        for (const auto& [record, age] : one.repeated(zero))
            RC_ASSERT_FALSE(other.merge(record, age, zero));
    }));
}

TEST_CASE("in groups of any size the cause is blocked by its third crash, and hardly any other request is")
{
    // After a closure all waiting requests begin together, so that others begin beside the cause. Requests
    // that were running are retried at the next opening, at any server.
    std::mt19937_64 random(20261203);
    int innocentBlocked = 0;
    int innocents = 0;
    for (int run = 0; run < 400; ++run) {
        const std::uint32_t ranks = std::array { 3U, 12U, 24U, 129U }[static_cast<std::size_t>(run % 4)];
        crash_history history;
        const auto cause = request(1);
        std::vector<std::uint64_t> waiting;
        std::uint64_t next = 2;
        std::uint32_t crashes = 0;
        for (; !isBlocked(history, cause); ++crashes) {
            REQUIRE(crashes < 3);
            while (waiting.size() < 8 * ranks)
                waiting.push_back(next++);
            // Each crash is that of another incarnation.
            const std::uint32_t crashed = 1'000 * crashes + static_cast<std::uint32_t>(random() % ranks);
            history.recordCrash(cause, crashed, 0, zero);
            std::vector<std::uint64_t> lost;
            for (const auto number : waiting) {
                if (random() % ranks == 0) {
                    history.recordCrash(request(number), crashed, random() % 4, zero);
                    lost.push_back(number);
                }
            }
            waiting = lost;
        }
        innocents += static_cast<int>(next - 2);
        innocentBlocked += static_cast<int>(history.blocked(zero).size()) - 1;
    }
    MESSAGE("innocent requests blocked: " << innocentBlocked << " of " << innocents);
    CHECK(innocentBlocked * 1'000 < innocents);
}

TEST_CASE("crashes of very many servers take bounded memory, and a request with two crashes is kept")
{
    crash_history history;
    for (const std::uint32_t server : { 1U, 2U })
        history.recordCrash(request(1), server, 0, zero);
    for (std::uint64_t number = 100; number < 10'100; ++number)
        history.merge({ request(number), { { static_cast<std::uint32_t>(number), true } }, false }, milliseconds(0), zero);
    CHECK(history.size() <= 2'048);
    CHECK(isBlocked(history, request(1)));
}
