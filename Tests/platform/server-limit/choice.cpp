// A server with a limit gets requests only from processes that have a grant for it.
#include "policy/routing/upstream_choice.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

const instant now { std::chrono::hours(1) };

struct made {
    made()
    {
        for (const std::string zone : { "own", "far" }) {
            for (int i = 0; i < 4; ++i)
                backends.list({ zone + std::to_string(i), "plain", "10.0.0.1:" + zone + std::to_string(i), zone, 8, false, 1 });
        }
        question.service = "plain";
        question.ownZone = "own";
        question.now = now;
    }

    std::string choose() { return upstream_choice().choose(question, backends, loads, groups, backpressure, random); }
    void name(const std::string& id, int granted)
    {
        backpressure.limits.recordAnswer(backendHash(id), 2.0, now);
        backpressure.limits.recordGranted({ backendHash(id), granted, milliseconds(500) }, now);
    }

    backend_directory backends;
    load_table loads { milliseconds(400) };
    group_directory groups { milliseconds(1'500) };
    server_backpressure backpressure;
    upstream_input question;
    std::mt19937_64 random { 1 };
};

} // namespace

TEST_CASE("a server with a limit is not chosen without a grant")
{
    made fleet;
    fleet.name("own0", 0);
    for (int i = 0; i < 200; ++i)
        CHECK(fleet.choose() != "own0");
}

TEST_CASE("a grant is used even if the server is in another zone")
{
    made fleet;
    fleet.name("far0", 1);
    CHECK(fleet.choose() == "far0");
    fleet.backpressure.recordSent(backendHash("far0"), now);
    CHECK(fleet.choose() != "far0");
}

TEST_CASE("the slots that a limit leaves empty are not counted")
{
    made fleet;
    const pool_load_input asked { "plain", std::nullopt, milliseconds(0), milliseconds(1'500), now };
    CHECK(poolLoad(asked, fleet.backends, fleet.loads, fleet.groups, fleet.backpressure).capacity == 64);
    fleet.name("own0", 0);
    CHECK(poolLoad(asked, fleet.backends, fleet.loads, fleet.groups, fleet.backpressure).capacity == 56 + 3);
}
