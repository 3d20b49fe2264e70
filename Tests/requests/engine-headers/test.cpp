// Guards against headers of an engine that are taken for its agent's: what an agent tells an entry VM of itself decides whether permits are
// dropped, whom the entry VM sends to, and whether a request that has run is told to have not.
#include "harness/test_fleet.h"
#include "support/scripted_server.h"

#include <atomic>
#include <doctest/doctest.h>

using namespace rampgap;
using namespace rampgap::test;

namespace {

// Each answer of the engine carries `headers`, but those to the calls that wait until ids may run.
struct setting {
    explicit setting(std::string headers)
        : engine([this, headers = std::move(headers)](const http_request& request, int) -> scripted_answer {
            if (request.method() == http::verb::options)
                return { "HTTP/1.1 204 No Content\r\n\r\n" };
            if (request.body() == "probe")
                return { "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nproof" };
            ++runs;
            return { "HTTP/1.1 200 OK\r\n" + headers + "Content-Type: text/plain\r\nContent-Length: 4\r\n\r\nmine" };
        })
    {
        fleet.addBackend({ "s1", "lac", "filings", 8, {}, engine.address() });
        fleet.addEntry("e1", "lac");
        fleet.startServing();
        REQUIRE(fleet.waitProven("/filings/1"));
    }

    std::atomic<int> runs = 0;
    scripted_server engine;
    test_fleet fleet;
};

} // namespace

TEST_CASE("an engine's headers do not speak for its agent: the answer of a request that has run is not told as a refusal")
{
    for (const char* reason : { "stale_permit", "leaving", "not_ready", "queue_full" }) {
        setting run(std::string("Rampgap-Verdict: not_run\r\nRampgap-Reason: ") + reason + "\r\nRampgap-Retry-After-Ms: 9223372036854775807\r\n");
        test_client client(run.fleet.entry("e1").address());
        const auto answer = client.send(onceCall(smallKey, "/filings/1", "id", "x"));
        INFO(std::string(reason) << " " << answer.body);
        CHECK(answer.status == 200);
        CHECK(answer.body == "mine");
        CHECK(answer.header("Rampgap-Verdict").empty());
        CHECK(run.runs == 1);
        const auto metrics = get(run.fleet.entry("e1").address(), "/metrics").body;
        CHECK(metrics.find("rampgap_pauses_detected_total 0") != std::string::npos);
    }
}

TEST_CASE("a load, a clock, a permit and a name that an engine sends are not its agent's")
{
    setting run("rampgap-load: 2000000000,2000000000,1\r\nRampgap-Clock: 18446744073709551615\r\nRampgap-Permit: p\r\nRampgap-Backend: b\r\nRampgap-Revision: 9\r\nRampgap-Request-Id: r\r\nRampgap-Workspace: w\r\n");
    test_client client(run.fleet.entry("e1").address());
    const auto answer = client.send(onceCall(smallKey, "/filings/1", "id", "x"));
    CHECK(answer.status == 200);
    CHECK(answer.body == "mine");
    CHECK(answer.header("Rampgap-Backend") == "s1");
    for (const std::string name : { "Rampgap-Load", "Rampgap-Clock", "Rampgap-Permit", "Rampgap-Workspace" })
        CHECK_MESSAGE(answer.header(name).empty(), name);
}
