// Guards against a stored answer that is not what the engine answered: a repeat of a request that may run only once gets it in place of a run.
#include "harness/test_fleet.h"
#include "support/scripted_server.h"

#include <atomic>
#include <doctest/doctest.h>

using namespace rampgap;
using namespace rampgap::test;

TEST_CASE("the answer to a repeat has the coding of the first one: its caller would take coded bytes for the body")
{
    std::atomic<int> runs = 0;
    scripted_server engine([&](const http_request& request, int) -> scripted_answer {
        if (request.method() == http::verb::options)
            return { "HTTP/1.1 204 No Content\r\n\r\n" };
        if (request.body() == "probe")
            return { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nproof" };
        ++runs;
        return { "HTTP/1.1 201 Created\r\nContent-Type: text/plain\r\nContent-Encoding: gzip\r\nContent-Length: 5\r\n\r\ncoded" };
    });
    test_fleet fleet;
    fleet.addBackend({ "s1", "lac", "filings", 8, {}, engine.address() });
    fleet.addEntry("e1", "lac");
    fleet.startServing();
    REQUIRE(fleet.waitProven("/filings/1"));
    test_client client(fleet.entry("e1").address());
    for (int i = 0; i < 2; ++i) {
        const auto answer = client.send(onceCall(smallKey, "/filings/1", "id", "x"));
        CHECK(answer.status == 201);
        CHECK(answer.body == "coded");
        CHECK(answer.header("Content-Type") == "text/plain");
        CHECK(answer.header("Content-Encoding") == "gzip");
    }
    CHECK(runs == 1);
}
