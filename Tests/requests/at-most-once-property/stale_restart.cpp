// A directed test: most agents of a pool restart while the configuration service returns an old revision.

#include "policy/membership/rendezvous.h"
#include "policy/requests/execution_guard.h"

#include <doctest/doctest.h>
#include <memory>

using namespace rampgap;

namespace {

constexpr milliseconds idLife { 1'000 };
const instant start = instant() + std::chrono::hours(1);

declaration declared(std::uint64_t revision, const std::string& draining)
{
    std::string text = "[rules]\nid_life_ms = 1000\n[service f]\npath = /f\n";
    for (const std::string name : { "a0", "a1", "a2" }) {
        text += "[backend " + name + "]\nzone = z\naddress = 127.0.0.1:1\npeer_address = 127.0.0.1:2\nserves = f\n";
        text += name == draining ? "draining = yes\n" : "";
    }
    return declaration::parse(text, "test").value().withLink({ revision, revision - 1, "", "" });
}

} // namespace

TEST_CASE("after restarts on a stale service, the quarantine begins when the revision is known to be current")
{
    const declaration stale = declared(1, "");
    const declaration later = declared(2, "a0");
    // An id whose owner is a0 under the stale revision and a1 under the later one.
    request_id id { "w", "f", "0" };
    for (int i = 0; rendezvousPick(id.text(), stale.ownersOf("f")) != "a0" || rendezvousPick(id.text(), later.ownersOf("f")) != "a1"; ++i)
        id.key = std::to_string(i);

    instant now = start;
    const auto restarted = [&](const std::string& name, std::uint64_t incarnation, const declaration& seen) {
        auto made = std::make_unique<execution_guard>(name, incarnation, now, ledger_limits {});
        made->apply(seen, now);
        return made;
    };
    std::vector<std::unique_ptr<execution_guard>> agents;
    for (const std::string name : { "a0", "a1", "a2" })
        agents.push_back(restarted(name, 1, stale));
    const auto talk = [&] {
        for (auto& asker : agents) {
            for (auto& asked : agents) {
                if (asker != asked)
                    asker->acceptHandover(asked->answerHandover(asker->ownership().status(), false, now), now);
            }
        }
    };
    talk();
    now += idLife;
    for (auto& member : agents)
        member->apply(later, now);
    talk();
    // a0 restarts on the stale service; a1 still runs the id, as its owner.
    agents[0] = restarted("a0", 2, stale);
    now += idLife - milliseconds(1);
    REQUIRE(agents[1]->claim(id, 0, now).has_value());
    // Then the others restart on the stale service too, and all agree on its revision.
    agents[1] = restarted("a1", 2, stale);
    agents[2] = restarted("a2", 2, stale);
    now += milliseconds(1);
    talk();
    CHECK_FALSE(agents[0]->claim(id, 0, now).has_value());
    now += idLife;
    CHECK(agents[0]->claim(id, 0, now).has_value());
}
