// Fault: a backend leaves by declaration, by the VM list, or by its own signal.

#include "harness/test_fleet.h"

#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace rampgap::test;

namespace {

// New work of the engine behind a backend since `before`, after 100 requests.
std::int64_t workAfter(test_fleet& fleet, const std::string& name)
{
    const auto runs = [&] { return get(fleet.engine(name).address(), "/standin/runs").body; };
    const std::string before = runs().substr(0, runs().find(','));
    test_client client(fleet.entry("e1").address());
    for (int i = 0; i < 100; ++i)
        CHECK(client.send(completion(smallKey, "assistant", "d" + std::to_string(i), 1, false)).status == 200);
    return runs().substr(0, runs().find(',')) == before ? 0 : 1;
}

} // namespace

TEST_CASE("a leaving backend gets no new work within two seconds of the first sign")
{
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addBackend({ "a2", "lac", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.startServing();
    CHECK(workAfter(fleet, "a1") == 1);

    SUBCASE("declared as draining")
    {
        CHECK(fleet.waitRevision(fleet.publish(fleet.declarationBody({ { "a1", "draining = yes" } }))));
        CHECK(workAfter(fleet, "a1") == 0);
    }
    SUBCASE("its own signal, with the VM list and the platform down")
    {
        post(fleet.platform().address(), "/standin/faults?down=1");
        fleet.agent("a1").signal(SIGTERM);
        CHECK(workAfter(fleet, "a1") == 0);
        CHECK(fleet.agent("a1").wait() == 0);
        CHECK(workAfter(fleet, "a1") == 0);
    }
}
