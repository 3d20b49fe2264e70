// Malformed and oversized requests, and engines that break: a clear error, and life goes on.

#include "harness/test_fleet.h"

#include <doctest/doctest.h>

using namespace rampgap::test;

namespace {

void checkAlive(test_fleet& fleet)
{
    test_client client(fleet.entry("e1").address());
    CHECK(answeredText(client.send(completion(smallKey, "assistant", "after", 3, false))) == expectedText("after", 3));
}

} // namespace

TEST_CASE("bad requests get a clear error and the process lives")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.startServing();
    const std::string entry = fleet.entry("e1").address();

    SUBCASE("malformed HTTP")
    {
        CHECK(test_client::raw(entry, "NONSENSE\r\n\r\n").find("400") != std::string::npos);
        CHECK(test_client::raw(entry, std::string("\0\1\2\3\r\n\r\n", 8)).find("400") != std::string::npos);
    }
    SUBCASE("a half request, then closed")
    {
        test_client::raw(entry, "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Length: 100\r\n\r\nhalf");
        CHECK(fleet.totalRuns() == 0);
    }
    SUBCASE("framing that two programs may read differently")
    {
        CHECK(test_client::raw(entry, "GET / HTTP/1.1\r\n\r\n").find("400") != std::string::npos);
        CHECK(test_client::raw(entry, "GET / HTTP/1.1\r\nHost: x\r\nHost: y\r\n\r\n").find("400") != std::string::npos);
        CHECK(test_client::raw(entry, "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: xchunked\r\n\r\n").find("501") != std::string::npos);
        CHECK(test_client::raw(entry, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n").find("400") != std::string::npos);
        CHECK(fleet.totalRuns() == 0);
    }
    SUBCASE("headers too large")
    {
        CHECK(test_client::raw(entry, "GET / HTTP/1.1\r\nHost: x\r\nX: " + std::string(40'000, 'x') + "\r\n\r\n").find("431") != std::string::npos);
    }
    SUBCASE("a body too large")
    {
        CHECK(post(entry, "/v1/completions", std::string(2'000'000, 'x'), smallKey).status != 200);
        CHECK(test_client::raw(entry, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2000000\r\n\r\n").find("413") != std::string::npos);
    }
    SUBCASE("invalid JSON, no model, a model that is no text")
    {
        CHECK(post(entry, "/v1/completions", "{\"model\":", smallKey).status == 400);
        CHECK(post(entry, "/v1/completions", "{\"prompt\":\"x\"}", smallKey).status == 400);
        CHECK(post(entry, "/v1/completions", "{\"model\":7,\"prompt\":\"x\"}", smallKey).status == 400);
        CHECK(post(entry, "/v1/completions", "[]", smallKey).body.find("invalid_request") != std::string::npos);
    }
    SUBCASE("an engine that breaks in mid-stream, with no other to resume on")
    {
        post(fleet.engine("a1").address(), "/standin/faults?break_after=3");
        test_client client(entry);
        const auto answer = client.send(completion(smallKey, "assistant", "broken", 10, true));
        CHECK(answer.status == 0);
        CHECK(answer.body.find("event: error") != std::string::npos);
        CHECK(answer.body.find("[DONE]") == std::string::npos);
        CHECK(answeredText(answer) == expectedText("broken", 3));
        post(fleet.engine("a1").address(), "/standin/faults?break_after=-1");
    }
    SUBCASE("an engine that is not there")
    {
        fleet.engine("a1").kill();
        test_client client(entry);
        const auto answer = client.send(completion(smallKey, "assistant", "x", 1, false));
        CHECK(answer.status == 502);
        CHECK(answer.header("Rampgap-Verdict") == "not_run");
        CHECK(get(entry, "/healthz").status == 200);
        return;
    }
    checkAlive(fleet);
}
