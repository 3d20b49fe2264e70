// Guards against a measured pass that takes a pause of the group for a long pass, or a poll's jitter for
// a change of its passes.
#include "policy/groups/step_rate.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

const instant zero {};
constexpr milliseconds pollInterval { 100 };
constexpr milliseconds pass { 40 };

group_progress progressAt(milliseconds at, int active = 50, std::uint64_t epoch = 1)
{
    return { epoch, static_cast<std::uint64_t>(at / pass), active, true };
}

// Polls a group with passes of 40 ms, and returns when it ended.
milliseconds pollSteadily(step_rate& rate, milliseconds from, milliseconds length)
{
    milliseconds at = from;
    for (; at < from + length; at += pollInterval)
        rate.record(progressAt(at), zero + at);
    return at;
}

bool isNear(milliseconds measured, milliseconds real = pass)
{
    return measured >= real * 85 / 100 && measured <= real * 115 / 100;
}

} // namespace

TEST_CASE("passes are measured from the second poll on, and the measure expires")
{
    step_rate rate;
    rate.record(progressAt(milliseconds(0)), zero);
    CHECK(rate.mean(zero) == milliseconds(0));
    rate.record(progressAt(milliseconds(200)), zero + milliseconds(200));
    CHECK(isNear(rate.mean(zero + milliseconds(200))));
    CHECK(isNear(rate.mean(zero + milliseconds(700))));
    CHECK(rate.mean(zero + milliseconds(701)) == milliseconds(0));
}

TEST_CASE("passes that get longer show within half a second")
{
    step_rate rate;
    const milliseconds changed = pollSteadily(rate, milliseconds(0), milliseconds(2'000));
    const std::uint64_t before = progressAt(changed).step;
    for (milliseconds later { 0 }; later <= milliseconds(500); later += pollInterval)
        rate.record({ 1, before + static_cast<std::uint64_t>(later / milliseconds(100)), 50, true }, zero + changed + later);
    const milliseconds measured = rate.mean(zero + changed + milliseconds(500));
    CHECK(measured > milliseconds(70));
    CHECK(measured <= milliseconds(100));
}

TEST_CASE("a hold is not a long pass, whether its polls show it or its leader says so")
{
    for (const bool shown : { true, false }) {
        step_rate rate;
        const milliseconds held = pollSteadily(rate, milliseconds(0), milliseconds(1'000));
        group_progress still = progressAt(held);
        still.steady = !shown;
        for (milliseconds at = held; at < held + milliseconds(300); at += pollInterval) {
            rate.record(still, zero + at);
            if (!shown)
                rate.discardSample();
        }
        still.steady = true;
        rate.record(still, zero + held + milliseconds(300));
        still.step += 5;
        rate.record(still, zero + held + milliseconds(500));
        CHECK(isNear(rate.mean(zero + held + milliseconds(500))));
    }
}

TEST_CASE("a pause without requests is not a long pass")
{
    for (const milliseconds pause : { milliseconds(300), milliseconds(800) }) {
        step_rate rate;
        const milliseconds idle = pollSteadily(rate, milliseconds(0), milliseconds(1'000));
        group_progress still = progressAt(idle, 0);
        for (milliseconds at = idle; at < idle + pause; at += pollInterval)
            rate.record(still, zero + at);
        // The last step is that of the poll before the pause.
        CHECK((rate.mean(zero + idle + pause) > milliseconds(0)) == (pause < milliseconds(500)));
        still.active = 4;
        rate.record(still, zero + idle + pause);
        still.step += 5;
        rate.record(still, zero + idle + pause + milliseconds(200));
        CHECK(isNear(rate.mean(zero + idle + pause + milliseconds(200))));
    }
}

TEST_CASE("a new epoch begins without the measure of the one before")
{
    step_rate rate;
    const milliseconds closed = pollSteadily(rate, milliseconds(0), milliseconds(1'000));
    // Steps are counted anew.
    rate.record({ 2, 3, 50, true }, zero + closed);
    CHECK(rate.mean(zero + closed) == milliseconds(0));
    rate.record({ 2, 5, 50, true }, zero + closed + pollInterval);
    CHECK(isNear(rate.mean(zero + closed + pollInterval), milliseconds(50)));
}

TEST_CASE("a poll that reached only ranks with older reports changes nothing")
{
    step_rate rate;
    for (milliseconds at { 0 }; at <= milliseconds(2'000); at += pollInterval) {
        // Each third poll shows what another rank reported 80 ms before.
        const bool older = at / pollInterval % 3 == 2;
        rate.record(progressAt(older ? at - milliseconds(80) : at), zero + at);
        if (at > milliseconds(1'000))
            CHECK(isNear(rate.mean(zero + at), milliseconds(older ? 42 : 40)));
    }
    // A leader that stood still does not know what the group did meanwhile.
    rate.record(progressAt(milliseconds(2'100)), zero + milliseconds(6'000));
    CHECK(rate.mean(zero + milliseconds(6'000)) == milliseconds(0));
}
