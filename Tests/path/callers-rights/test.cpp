// Who may call what: keys, workspaces, models and services.

#include "harness/test_fleet.h"

#include <doctest/doctest.h>

using namespace rampgap::test;

TEST_CASE("keys and workspaces decide what a caller may use")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addBackend({ "s1", "lac", "filings", 8, {} });
    fleet.addEntry("e1", "lac");
    CHECK(get(fleet.entry("e1").address(), "/readyz").status == 503);
    CHECK(post(fleet.entry("e1").address(), "/v1/completions", "{}", smallKey).status == 503);
    fleet.startServing();
    const std::string entry = fleet.entry("e1").address();
    CHECK(get(entry, "/readyz").status == 200);
    CHECK(get(entry, "/healthz").status == 200);

    test_client client(entry);
    SUBCASE("an unknown key is refused as not run")
    {
        const auto answer = client.send(completion("nobody", "assistant", "x", 1, false));
        CHECK(answer.status == 401);
        CHECK(answer.header("Rampgap-Verdict") == "not_run");
    }
    SUBCASE("a workspace may not use another's service")
    {
        CHECK(client.send(onceCall(largeKey, "/filings/1", "id", "x")).status == 403);
    }
    SUBCASE("an unknown model and an unknown path are not found")
    {
        CHECK(client.send(completion(smallKey, "unknown", "x", 1, false)).status == 404);
        CHECK(post(entry, "/elsewhere", "x", smallKey).status == 404);
    }
    SUBCASE("the operators' pages need the operators' key")
    {
        CHECK(get(entry, "/operator/status").status == 401);
        CHECK(get(entry, "/operator/status", smallKey).status == 401);
        CHECK(get(entry, "/operator/status", operatorKey).status == 200);
    }
    SUBCASE("a caller's internal headers do not reach the agent")
    {
        auto request = completion(smallKey, "assistant", "x", 1, false);
        request.headers.emplace_back("Rampgap-Workspace", "large");
        const auto answer = client.send(request);
        CHECK(answer.status == 200);
        CHECK(answer.header("Rampgap-Permit").empty());
    }
    SUBCASE("metrics are in the Prometheus text form, with the refusal before the start")
    {
        client.send(completion(smallKey, "assistant", "x", 1, false));
        CHECK(get(entry, "/metrics").body.find("rampgap_requests_received_total 2") != std::string::npos);
    }
}
