// The steady clock of a VM stands still while the VM is suspended. If ages were taken by it, a copy of
// the store read 6.5 s ago would look 0.5 s old after a suspension of 6 s: a key revoked meanwhile
// would be admitted, and deadlines that have passed would be forwarded as time left.
#include "daemon/process_context.h"
#include "policy/configuration/published_state.h"
#include "support/suspended_time.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

constexpr milliseconds suspension { 6'000 };

} // namespace

TEST_CASE("the clock includes the time for which the VM was suspended")
{
    const process_context context { "entry", "a", "entry" };
    const instant before = context.now();
    test::suspendVm(suspension);
    CHECK(context.now() - before >= suspension);
}

TEST_CASE("no key is admitted by a copy that was fresh before a suspension")
{
    const process_context context { "entry", "a", "entry" };
    const freshness_rule rule(true, milliseconds(5'000), milliseconds(1'400));
    const instant freshAsOf = context.now();
    CHECK(rule.mayUseKeys(freshAsOf, context.now()));
    test::suspendVm(suspension);
    CHECK_FALSE(rule.mayUseKeys(freshAsOf, context.now()));
}
