// Reports of a server about its limit: the newest one of the current incarnation applies until it is too old.
#include "policy/limits/server_limits.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

constexpr server_hash server = 7;
constexpr int usual = 2;
const instant zero { std::chrono::hours(1) };

instant at(int ms) { return zero + milliseconds(ms); }

} // namespace

TEST_CASE("a server that reports no limit accepts any number of requests")
{
    server_limits limits;
    limits.recordAnswer(server, std::nullopt, at(0));
    CHECK_FALSE(limits.any());
    CHECK(limits.maySend(server, usual, at(0)));
}

TEST_CASE("the newest report about a limit applies, whichever process received it")
{
    server_limits limits;
    limits.recordAnswer(server, 2.0, at(1'000));
    limits.mergeReport(server, { std::nullopt, at(500) }, at(1'100));
    CHECK((limits.limitOf(server, at(1'100)) == 2.0));
    limits.mergeReport(server, { 5.0, at(1'200) }, at(1'300));
    CHECK((limits.limitOf(server, at(1'300)) == 5.0));
    CHECK_FALSE(limits.maySend(server, usual, at(1'300)));
    limits.recordAnswer(server, std::nullopt, at(1'400));
    CHECK(limits.maySend(server, usual, at(1'400)));
}

TEST_CASE("a report about a limit ends with the server's incarnation")
{
    server_limits limits;
    limits.recordAnswer(server, 2.0, at(0));
    limits.forget(server, at(100));
    CHECK(limits.maySend(server, usual, at(100)));
    limits.mergeReport(server, { 2.0, at(50) }, at(150));
    CHECK(limits.maySend(server, usual, at(150)));
    limits.mergeReport(server, { 2.0, at(120) }, at(160));
    CHECK_FALSE(limits.maySend(server, usual, at(160)));
}

TEST_CASE("a limit that is not confirmed for half a minute does not apply any more")
{
    server_limits limits;
    limits.recordAnswer(server, 2.0, at(0));
    CHECK_FALSE(limits.maySend(server, usual, at(29'000)));
    CHECK(limits.maySend(server, usual, at(30'000)));
}

TEST_CASE("a change is sent to peers for a second, and a repeated report is no change")
{
    server_limits limits;
    limits.recordAnswer(server, 2.0, at(0));
    CHECK(limits.recentChanges(at(900)).size() == 1);
    limits.recordAnswer(server, 2.02, at(800));
    CHECK(limits.recentChanges(at(1'100)).empty());
    limits.recordAnswer(server, std::nullopt, at(1'200));
    REQUIRE(limits.recentChanges(at(1'300)).size() == 1);
    CHECK_FALSE(limits.recentChanges(at(1'300)).front().second.perSecond.has_value());
    CHECK(limits.currentLimits(10, at(1'300)).empty());
}

TEST_CASE("a grant allows one request, and expires after a second")
{
    server_limits limits;
    limits.recordAnswer(server, 2.0, at(0));
    int asked = 0;
    limits.onGrantQuestions([&] { ++asked; });
    limits.requestGrants("s", { server }, usual, at(0));
    CHECK(limits.takeQuestions().size() == 1);
    limits.requestGrants("s", { server }, usual, at(10));
    CHECK(asked == 1);
    CHECK(limits.awaitsAnswer(server, at(10)));
    limits.recordGranted({ server, 2, milliseconds(500) }, at(20));
    CHECK(limits.maySend(server, usual, at(30)));
    limits.useGrant(server, at(30));
    CHECK(limits.maySend(server, usual, at(30)));
    CHECK_FALSE(limits.maySend(server, usual, at(1'020)));
    limits.requestGrants("s", { server }, usual, at(400));
    CHECK(limits.takeQuestions().empty());
    limits.requestGrants("s", { server }, usual, at(1'030));
    CHECK(limits.takeQuestions().size() == 1);
}

TEST_CASE("a grant is reserved for half of its lifetime while more urgent requests go unserved")
{
    server_limits limits;
    limits.recordAnswer(server, 2.0, at(0));
    limits.recordUnserved(0, at(0));
    limits.recordGranted({ server, 1, milliseconds(500) }, at(10));
    CHECK(limits.maySend(server, 0, at(20)));
    CHECK_FALSE(limits.maySend(server, usual, at(20)));
    CHECK(limits.maySend(server, usual, at(600)));
}

TEST_CASE("a lost question for a grant is asked again")
{
    server_limits limits;
    limits.recordAnswer(server, 2.0, at(0));
    limits.requestGrants("s", { server }, usual, at(0));
    limits.takeQuestions();
    limits.requestGrants("s", { server }, usual, at(299));
    CHECK(limits.takeQuestions().empty());
    limits.requestGrants("s", { server }, usual, at(301));
    CHECK(limits.takeQuestions().size() == 1);
}
