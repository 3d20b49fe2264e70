// Faults: agents of a group killed, frozen and cut while maps are switched.

#include "harness/test_fleet.h"

#include <boost/json.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <thread>

using namespace rampgap::test;

namespace {

struct group_figures {
    std::int64_t steps;
    std::int64_t delayed;
    std::int64_t mixed;
    std::int64_t switches;
};

group_figures figuresOf(const child_process& engines)
{
    const auto page = boost::json::parse(get(engines.address(), "/standin/group").body);
    const auto number = [&](const char* name) { return page.at(name).to_number<std::int64_t>(); };
    return { number("steps"), number("delayed"), number("mixed"), number("switches") };
}

class group_fleet {
public:
    explicit group_fleet(const std::vector<std::string>& engineFlags = {})
        : engines("rampgap-standin", withFlags(engineFlags))
    {
        std::string ranks;
        for (std::size_t i = 0; i < engines.rankAddresses().size(); ++i) {
            const std::string name = "r" + std::to_string(i);
            fleet.addBackend({ name, "lac", "assistant", 8, {}, engines.rankAddresses()[i] });
            ranks += (i == 0 ? "" : ", ") + name;
        }
        fleet.addEntry("e1", "lac");
        fleet.setExtraSections("[group g]\nmodel = assistant\nranks = " + ranks + "\nexperts = 16\nslots_per_rank = 6\n");
        fleet.startServing();
    }

    bool switchesOn()
    {
        const auto before = figuresOf(engines);
        return eventually([&] { const auto now = figuresOf(engines); return now.switches > before.switches + 1 && now.steps > before.steps + 50; });
    }

    child_process engines;
    test_fleet fleet;

private:
    static std::vector<std::string> withFlags(const std::vector<std::string>& more)
    {
        std::vector<std::string> flags { "engine", "--ranks", "4", "--step-ms", "2" };
        flags.insert(flags.end(), more.begin(), more.end());
        return flags;
    }
};

} // namespace

TEST_CASE("without a fault maps are switched and no step waits or mixes maps")
{
    group_fleet group;
    CHECK(group.switchesOn());
    CHECK(group.switchesOn());
    const auto figures = figuresOf(group.engines);
    MESSAGE("steps " << figures.steps << ", switches " << figures.switches << ", delayed " << figures.delayed);
    CHECK(figures.mixed == 0);
}

TEST_CASE("kill, freeze and cut of agents: one map in every step, and the group goes on after healing")
{
    group_fleet group({ "--checks-fencing" });
    test_fleet& fleet = group.fleet;
    REQUIRE(group.switchesOn());
    SUBCASE("a rank's agent is killed again and again")
    {
        for (int i = 0; i < 5; ++i) {
            fleet.agent("r2").kill();
            fleet.restartAgent("r2");
        }
    }
    SUBCASE("the coordinator is killed again and again")
    {
        for (int i = 0; i < 5; ++i) {
            fleet.agent("r0").kill();
            fleet.restartAgent("r0");
        }
    }
    SUBCASE("the coordinator is frozen and wakes with its old view")
    {
        fleet.agent("r0").signal(SIGSTOP);
        const auto frozenAt = figuresOf(group.engines).steps;
        eventually([&] { return figuresOf(group.engines).steps > frozenAt + 200; }, std::chrono::milliseconds(700));
        fleet.agent("r0").signal(SIGCONT);
    }
    SUBCASE("the coordinator is cut off from two ranks")
    {
        fleet.cut({ "r0" }, { "r2", "r3" });
        const auto cutAt = figuresOf(group.engines).steps;
        eventually([&] { return figuresOf(group.engines).steps > cutAt + 200; }, std::chrono::milliseconds(700));
        fleet.heal();
    }
    // Its calls all fail at once, so that they have ended before it waits for them.
    SUBCASE("the coordinator is cut off from all other ranks")
    {
        fleet.cut({ "r0" }, { "r1", "r2", "r3" });
        const auto cutAt = figuresOf(group.engines).steps;
        eventually([&] { return figuresOf(group.engines).steps > cutAt + 200; }, std::chrono::milliseconds(700));
        fleet.heal();
    }
    CHECK(group.switchesOn());
    CHECK(figuresOf(group.engines).mixed == 0);
}

TEST_CASE("the coordinator changes by declaration while the old one is frozen, engines ignore fences")
{
    group_fleet group;
    test_fleet& fleet = group.fleet;
    REQUIRE(group.switchesOn());
    fleet.agent("r0").signal(SIGSTOP);
    fleet.setExtraSections("[group g]\nmodel = assistant\nranks = r1, r0, r2, r3\nexperts = 16\nslots_per_rank = 6\n");
    const auto second = fleet.publish(fleet.declarationBody());
    CHECK(eventually([&] { return fleet.revision(fleet.agent("r1").address()) == second; }));
    fleet.agent("r0").signal(SIGCONT);
    CHECK(fleet.waitRevision(second));
    CHECK(group.switchesOn());
    CHECK(figuresOf(group.engines).mixed == 0);
}
