// Fault: tampered, unconfirmed, cut, oversized and malformed declarations.

#include "harness/test_fleet.h"

#include <doctest/doctest.h>

using namespace rampgap;
using namespace rampgap::test;

TEST_CASE("bad declarations are refused with a reason in status, metrics and time line; the last good one stays")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.startServing();
    const declaration base = fleet.lastPublished();
    const auto changed = *base.withDraining("a1");
    const std::string good = changed.withLink({ 2, 1, base.digest(), planDigest(base.digest(), changed.canonicalBody()) }).canonicalText();
    const std::string unconfirmed = changed.withLink({ 2, 1, base.digest(), "" }).canonicalText();
    std::string tampered = good;
    tampered.replace(tampered.find("slots = 8"), 9, "slots = 9");
    std::uint64_t revision = 2;
    for (const std::string& bad : { unconfirmed, tampered, good.substr(0, good.size() / 2), std::string("[oops"), std::string(1'000'001, ';') }) {
        const std::string entry = fleet.entry("e1").address();
        const std::string wanted = "rampgap_revisions_refused_total " + std::to_string(revision - 1);
        CHECK(put(fleet.platform().address(), "/v1/declarations/" + std::to_string(revision), bad).status == 200);
        ++revision;
        CHECK(eventually([&] { return get(entry, "/metrics").body.find(wanted) != std::string::npos; }));
        CHECK(fleet.revision(entry) == 1);
        CHECK(get(entry, "/operator/timeline", operatorKey).body.find("revision_refused") != std::string::npos);
        CHECK(get(entry, "/operator/status", operatorKey).body.find("reason") != std::string::npos);
        CHECK(test_client(entry).send(completion(smallKey, "assistant", "x", 1, false)).status == 200);
    }
}
