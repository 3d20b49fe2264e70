// A server that asked to back off gets no request until the backoff is over, then a single one until that is
// answered.
#include "policy/routing/upstream_choice.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

constexpr server_hash server = 7;
constexpr server_hash other = 8;
const instant zero { std::chrono::hours(1) };

instant at(int ms) { return zero + milliseconds(ms); }

} // namespace

TEST_CASE("a backoff lasts to its end, whatever the server answers in the meantime")
{
    server_backoffs backoffs;
    CHECK(backoffs.maySend(server, at(0)));
    backoffs.recordBackoff(server, milliseconds(3'000), at(0));
    CHECK_FALSE(backoffs.maySend(server, at(0)));
    backoffs.recordBackoff(server, milliseconds(500), at(100));
    backoffs.recordAnswered(server, at(200));
    CHECK_FALSE(backoffs.maySend(server, at(2'999)));
    CHECK(backoffs.maySend(server, at(3'000)));
    CHECK(backoffs.maySend(other, at(0)));
}

TEST_CASE("after a backoff one request goes first, and others after its answer")
{
    server_backoffs backoffs;
    backoffs.recordBackoff(server, milliseconds(1'000), at(0));
    backoffs.recordSent(server, at(1'000));
    CHECK_FALSE(backoffs.maySend(server, at(1'100)));
    SUBCASE("its answer asks for no further backoff")
    {
        backoffs.recordAnswered(server, at(1'100));
        CHECK(backoffs.maySend(server, at(1'100)));
        backoffs.recordSent(server, at(1'100));
        CHECK(backoffs.maySend(server, at(1'100)));
    }
    SUBCASE("it is refused again")
    {
        backoffs.recordBackoff(server, milliseconds(1'000), at(1'100));
        CHECK_FALSE(backoffs.maySend(server, at(2'099)));
        CHECK(backoffs.maySend(server, at(2'100)));
    }
    SUBCASE("it is not answered")
    {
        CHECK(backoffs.maySend(server, at(1'500)));
    }
}

TEST_CASE("a restart of the server ends the backoff")
{
    server_backoffs backoffs;
    backoffs.recordBackoff(server, milliseconds(1'000), at(0));
    backoffs.forget(server);
    CHECK(backoffs.maySend(server, at(1)));
}

TEST_CASE("where all servers ask to back off, the time until the first of them is available is known")
{
    server_backoffs backoffs;
    CHECK_FALSE(backoffs.untilFirst({}, at(0)).has_value());
    backoffs.recordBackoff(server, milliseconds(1'000), at(0));
    CHECK_FALSE(backoffs.untilFirst({ server, other }, at(0)).has_value());
    backoffs.recordBackoff(other, milliseconds(400), at(0));
    CHECK((backoffs.untilFirst({ server, other }, at(100)) == milliseconds(300)));
    CHECK_FALSE(backoffs.untilFirst({ server, other }, at(400)).has_value());
}

TEST_CASE("a server that asked to back off is not chosen, and its slots do not count")
{
    backend_directory backends;
    for (const std::string id : { "a", "b" })
        backends.list({ id, "model", "10.0.0.1:" + id, "z", 8, false, 1 });
    load_table loads { milliseconds(400) };
    group_directory groups { milliseconds(1'500) };
    std::mt19937_64 random(1);
    server_backpressure backpressure;
    backpressure.backoffs.recordBackoff(backendHash("a"), milliseconds(1'000), at(0));
    upstream_input question;
    question.service = "model";
    question.now = at(100);
    for (int i = 0; i < 20; ++i)
        CHECK(upstream_choice().choose(question, backends, loads, groups, backpressure, random) == "b");
    CHECK(poolLoad({ "model", std::nullopt, milliseconds(0), milliseconds(0), at(100) }, backends, loads, groups, backpressure).capacity == 8);
    question.tried = { "b" };
    CHECK(upstream_choice().choose(question, backends, loads, groups, backpressure, random).empty());
}
