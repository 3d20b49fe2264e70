// Fault: two operators publish on one base at the same time.

#include "harness/test_fleet.h"
#include "policy/common/digest.h"

#include <boost/json.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace rampgap;
using namespace rampgap::test;

TEST_CASE("of two racing operators one wins everywhere and the other is refused everywhere with a reason")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addBackend({ "a2", "ariana", "assistant", 8, {} });
    for (const std::string name : { "e1", "e2", "e3" })
        fleet.addEntry(name, name == "e3" ? "ariana" : "lac");
    fleet.startServing();
    const declaration base = fleet.lastPublished();
    const auto change = [&](const std::string& backend, std::uint64_t revision) {
        const auto body = *base.withDraining(backend);
        return body.withLink({ revision, 1, base.digest(), planDigest(base.digest(), body.canonicalBody()) }).canonicalText();
    };
    const std::string platform = fleet.platform().address();
    int first = 0;
    int second = 0;
    SUBCASE("under the same number")
    {
        std::thread one([&] { first = put(platform, "/v1/declarations/2", change("a1", 2)).status; });
        std::thread two([&] { second = put(platform, "/v1/declarations/2", change("a2", 2)).status; });
        one.join();
        two.join();
        CHECK(first + second == 200 + 409);
    }
    SUBCASE("under two numbers")
    {
        CHECK(put(platform, "/v1/declarations/2", change("a1", 2)).status == 200);
        CHECK(put(platform, "/v1/declarations/3", change("a2", 3)).status == 200);
        REQUIRE(fleet.waitRevision(2));
        CHECK(eventually([&] { return get(fleet.entry("e1").address(), "/operator/status", operatorKey).body.find("plan again") != std::string::npos
                                   || get(fleet.entry("e2").address(), "/operator/status", operatorKey).body.find("plan again") != std::string::npos; }));
    }
    REQUIRE(fleet.waitRevision(2));
    std::string digest;
    for (const auto& name : fleet.entryNames()) {
        const auto status = boost::json::parse(get(fleet.entry(name).address(), "/operator/status", operatorKey).body);
        CHECK(status.at("revision").to_number<int>() == 2);
        const std::string own(status.at("digest").as_string());
        CHECK((digest.empty() || own == digest));
        digest = own;
    }
}
