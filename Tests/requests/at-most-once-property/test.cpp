// Each id runs at most once under crashes, restarts with stale configuration, drains, late and lost
// messages, planned stops, and any combination of these.

#include "once_model.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap::test;

namespace {

constexpr std::size_t choicesPerRun = 900;

auto choices()
{
    return rc::gen::container<std::vector<std::uint32_t>>(choicesPerRun, rc::gen::noShrink(rc::gen::resize(100, rc::gen::arbitrary<std::uint32_t>())));
}

} // namespace

TEST_CASE("no id runs twice within its lifetime, whatever fails")
{
    int accepted = 0;
    int runs = 0;
    const bool held = rc::check("no id runs twice", [&] {
        const auto drawn = *choices();
        choice_source source(drawn);
        once_model model(source);
        while (!source.done())
            model.step();
        accepted += model.accepted();
        ++runs;
        RC_ASSERT(model.mostRuns() <= 1);
    });
    CHECK(held);
    // A guard that refuses everything would pass the check above as well.
    MESSAGE("ids run: " << accepted << " in " << runs << " worlds");
    CHECK(accepted > 5 * runs);
}

TEST_CASE("after the last fault every new id runs again")
{
    CHECK(rc::check("service returns", [] {
        const auto drawn = *choices();
        choice_source source(drawn);
        once_model model(source);
        while (!source.done())
            model.step();
        model.heal();
        for (int i = 0; i < 20; ++i)
            RC_ASSERT(model.someoneRuns("after-" + std::to_string(i)));
        RC_ASSERT(model.mostRuns() <= 1);
    }));
}
