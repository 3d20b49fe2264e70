// Fault: a caller goes away.

#include "harness/test_fleet.h"

#include <doctest/doctest.h>

using namespace rampgap::test;

TEST_CASE("a caller who goes away cancels the engine's work")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.startServing();
    for (const std::string stream : { "true", "false" }) {
        const std::string body = R"({"model":"assistant","prompt":"long","max_tokens":1000000,"stream":)" + stream + "}";
        const auto untilItRuns = [&] { REQUIRE(eventually([&] { return get(fleet.engine("a1").address(), "/standin/runs").body.find("\"in_batch\":1") != std::string::npos; })); };
        test_client::raw(fleet.entry("e1").address(), "POST /v1/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer " + smallKey + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, untilItRuns);
        CHECK(eventually([&] { return get(fleet.engine("a1").address(), "/standin/runs").body.find("\"in_batch\":0") != std::string::npos; }));
    }
    CHECK(get(fleet.engine("a1").address(), "/standin/runs").body.find("\"cancelled\":2") != std::string::npos);
    CHECK(eventually([&] { return get(fleet.agent("a1").address(), "/metrics").body.find("rampgap_requests_in_flight 0") != std::string::npos; }));
}
