// Detecting which servers crashed, and under which requests, in one entry VM.
#include "policy/requests/crash_detector.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

using finding = crash_detector::finding;
const instant zero {};
const server_incarnation first { "i-1", 1'000 };

lost_call lostAt(const std::string& requestId, milliseconds at)
{
    return { requestId, fingerprintOf("POST", "/draft/" + requestId, "key", ""), 0, zero, zero + at };
}

} // namespace

TEST_CASE("a repeated request has the same fingerprint, any other request has not")
{
    const auto request = fingerprintOf("POST", "/draft/7", "key-a", "body");
    CHECK((request == fingerprintOf("POST", "/draft/7", "key-a", "body")));
    CHECK((request != fingerprintOf("POST", "/draft/7", "key-b", "body")));
    CHECK((request != fingerprintOf("POST", "/draft/8", "key-a", "body")));
    CHECK((request != fingerprintOf("POST", "/draft/7", "key-a", "other")));
    CHECK((fingerprintOf("POST", "/draft/7k", "ey", "") != fingerprintOf("POST", "/draft/7", "key", "")));
    CHECK((parseFingerprint(toString(request)) == request));
    for (const std::string wrong : { "", "12", "0123456789abcdeg", "00123456789abcdef" })
        CHECK_FALSE(parseFingerprint(wrong));
}

TEST_CASE("all calls that were lost in a crash are reported when the crash is detected")
{
    crash_detector detector;
    CHECK((detector.recordLost(first, lostAt("a", milliseconds(100)), zero + milliseconds(100)) == finding::probe));
    CHECK((detector.recordLost(first, lostAt("b", milliseconds(101)), zero + milliseconds(101)) == finding::wait));
    CHECK(detector.recordCrashed(first, zero + milliseconds(103)).size() == 2);
    // The end of a connection may be noticed later than the crash of the server.
    CHECK((detector.recordLost(first, lostAt("c", milliseconds(110)), zero + milliseconds(110)) == finding::crashed));
    // The next incarnation with the same id has not crashed.
    CHECK((detector.recordLost({ "i-1", 2'000 }, lostAt("d", milliseconds(5'000)), zero + milliseconds(5'000)) == finding::probe));
}

TEST_CASE("a server that broke off calls but still runs has not crashed")
{
    crash_detector detector;
    detector.recordLost(first, lostAt("a", milliseconds(100)), zero + milliseconds(100));
    detector.recordAlive(first, zero + milliseconds(103));
    CHECK(detector.undecided().empty());
    // A later crash has nothing to do with that call.
    detector.recordLost(first, lostAt("b", milliseconds(900)), zero + milliseconds(900));
    const auto calls = detector.recordCrashed(first, zero + milliseconds(903));
    REQUIRE(calls.size() == 1);
    CHECK(calls.front().requestId == "b");
}

TEST_CASE("a silent server stays undecided until it is restarted, or for ten seconds")
{
    crash_detector detector;
    detector.recordLost(first, lostAt("a", milliseconds(2'000)), zero + milliseconds(2'000));
    detector.recordUndecided(first);
    detector.expire(zero + milliseconds(6'000));
    CHECK(detector.undecided() == std::vector<server_incarnation> { first });
    CHECK((detector.recordLost(first, lostAt("b", milliseconds(2'500)), zero + milliseconds(2'500)) == finding::probe));
    CHECK(detector.recordCrashed(first, zero + milliseconds(6'000)).size() == 2);
    const server_incarnation other { "i-2", 1'000 };
    detector.recordLost(other, lostAt("c", milliseconds(2'000)), zero + milliseconds(2'000));
    detector.recordUndecided(other);
    detector.expire(zero + milliseconds(12'001));
    CHECK(detector.undecided().empty());
}

TEST_CASE("a withdrawn call counts as running at a server that crashes a moment later")
{
    crash_detector detector;
    CHECK_FALSE(detector.recordWithdrawn(first, lostAt("a", milliseconds(100)), zero + milliseconds(100)));
    detector.recordLost(first, lostAt("b", milliseconds(102)), zero + milliseconds(102));
    // A probe shows whether the server has crashed, not whether one of its calls is about to crash it.
    detector.recordAlive(first, zero + milliseconds(104));
    CHECK((detector.findUndecided(hashOf(first)) == first));
    CHECK_FALSE(detector.findUndecided(hashOf(first) + 1));
    const auto calls = detector.recordCrashed(first, zero + milliseconds(300));
    REQUIRE(calls.size() == 1);
    CHECK(calls.front().requestId == "a");
    CHECK(detector.hasCrashed(first, zero + milliseconds(300)));
    // The same if the call is withdrawn after the crash is known.
    CHECK(detector.recordWithdrawn(first, lostAt("c", milliseconds(301)), zero + milliseconds(301)));
}

TEST_CASE("a server that answers a later call was not crashed by the withdrawn one")
{
    crash_detector detector;
    detector.recordWithdrawn(first, lostAt("a", milliseconds(100)), zero + milliseconds(100));
    detector.recordAnswered(first, zero + milliseconds(99));
    CHECK_FALSE(detector.undecided().empty());
    detector.recordAnswered(first, zero + milliseconds(100));
    CHECK(detector.undecided().empty());
    detector.recordWithdrawn(first, lostAt("b", milliseconds(200)), zero + milliseconds(200));
    detector.expire(zero + milliseconds(10'199));
    CHECK_FALSE(detector.undecided().empty());
    detector.expire(zero + milliseconds(10'200));
    CHECK(detector.undecided().empty());
}

TEST_CASE("withdrawn calls take bounded memory and do not displace calls that the server broke off")
{
    crash_detector detector;
    for (int i = 0; i < 1'000; ++i)
        detector.recordWithdrawn(first, lostAt("w" + std::to_string(i), milliseconds(i)), zero + milliseconds(i));
    detector.recordLost(first, lostAt("lost", milliseconds(1'000)), zero + milliseconds(1'000));
    const auto calls = detector.recordCrashed(first, zero + milliseconds(1'001));
    REQUIRE(calls.size() == 65);
    CHECK(calls.front().requestId == "lost");
    CHECK(calls.back().requestId == "w999");
}
