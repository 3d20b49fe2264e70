// A VM was suspended for seconds and went on as if no time had passed: its steady clock, by which
// the age of the last reading of the store was taken, had stood still. Read 0.5 s before, said the
// clock, and in truth 6.5 s: a key that had been taken away meanwhile was still let in, and callers'
// deadlines that had passed were handed on as time left.
#include "daemon/process_context.h"
#include "policy/published_state.h"
#include "support/suspended_time.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

constexpr milliseconds suspension { 6'000 };

} // namespace

TEST_CASE("the time for which the VM was suspended has passed")
{
    const process_context context { "entry", "a", "entry" };
    const instant before = context.now();
    test::suspendVm(suspension);
    CHECK(context.now() - before >= suspension);
}

TEST_CASE("a key is not let in by a proof from before a suspension")
{
    const process_context context { "entry", "a", "entry" };
    const freshness_rule rule(true, milliseconds(5'000), milliseconds(1'400));
    const instant provenAt = context.now();
    CHECK(rule.mayUseKeys(provenAt, context.now()));
    test::suspendVm(suspension);
    CHECK_FALSE(rule.mayUseKeys(provenAt, context.now()));
}
