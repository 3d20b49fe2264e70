// A server that asked for rest gets nothing until it is over, then one request before any other.
#include "policy/upstream_choice.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

constexpr server_hash server = 7;
constexpr server_hash other = 8;
const instant zero { std::chrono::hours(1) };

instant at(int ms) { return zero + milliseconds(ms); }

} // namespace

TEST_CASE("a rest holds to its end, whatever is answered meanwhile")
{
    server_rests rests;
    CHECK(rests.maySend(server, at(0)));
    rests.noteAsked(server, milliseconds(3'000), at(0));
    CHECK_FALSE(rests.maySend(server, at(0)));
    rests.noteAsked(server, milliseconds(500), at(100));
    rests.noteAnswered(server, at(200));
    CHECK_FALSE(rests.maySend(server, at(2'999)));
    CHECK(rests.maySend(server, at(3'000)));
    CHECK(rests.maySend(other, at(0)));
}

TEST_CASE("after a rest one request goes first, and others with its answer")
{
    server_rests rests;
    rests.noteAsked(server, milliseconds(1'000), at(0));
    rests.use(server, at(1'000));
    CHECK_FALSE(rests.maySend(server, at(1'100)));
    SUBCASE("its answer asks for no more rest")
    {
        rests.noteAnswered(server, at(1'100));
        CHECK(rests.maySend(server, at(1'100)));
        rests.use(server, at(1'100));
        CHECK(rests.maySend(server, at(1'100)));
    }
    SUBCASE("it is turned away again")
    {
        rests.noteAsked(server, milliseconds(1'000), at(1'100));
        CHECK_FALSE(rests.maySend(server, at(2'099)));
        CHECK(rests.maySend(server, at(2'100)));
    }
    SUBCASE("it is not answered")
    {
        CHECK(rests.maySend(server, at(1'500)));
    }
}

TEST_CASE("a new life knows nothing of the rest")
{
    server_rests rests;
    rests.noteAsked(server, milliseconds(1'000), at(0));
    rests.forget(server);
    CHECK(rests.maySend(server, at(1)));
}

TEST_CASE("where all servers rest, the first that is back is known")
{
    server_rests rests;
    CHECK_FALSE(rests.untilFirst({}, at(0)).has_value());
    rests.noteAsked(server, milliseconds(1'000), at(0));
    CHECK_FALSE(rests.untilFirst({ server, other }, at(0)).has_value());
    rests.noteAsked(other, milliseconds(400), at(0));
    CHECK((rests.untilFirst({ server, other }, at(100)) == milliseconds(300)));
    CHECK_FALSE(rests.untilFirst({ server, other }, at(400)).has_value());
}

TEST_CASE("a server that rests is not chosen, and its places do not count")
{
    backend_directory backends;
    for (const std::string id : { "a", "b" })
        backends.list({ id, "model", "10.0.0.1:" + id, "z", 8, false, 1 });
    load_board loads { milliseconds(400) };
    group_board groups { milliseconds(1'500) };
    std::mt19937_64 random(1);
    server_wishes wishes;
    wishes.rests.noteAsked(backendHash("a"), milliseconds(1'000), at(0));
    upstream_question question;
    question.service = "model";
    question.now = at(100);
    for (int i = 0; i < 20; ++i)
        CHECK(upstream_choice().choose(question, backends, loads, groups, wishes, random) == "b");
    CHECK(poolLoad({ "model", std::nullopt, milliseconds(0), milliseconds(0), at(100) }, backends, loads, groups, wishes).capacity == 8);
    question.tried = { "b" };
    CHECK(upstream_choice().choose(question, backends, loads, groups, wishes, random).empty());
}
