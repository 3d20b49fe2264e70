// Which of the long passes of a group are expected to come again.
#include "policy/groups/recurring_peak.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

constexpr milliseconds sampleInterval { 50 };
constexpr double usual = 5;
constexpr double raised = 11;

// Records `usual`, and `raised` for the first half second of each period.
instant recordShifts(recurring_peak& peak, instant from, milliseconds length, milliseconds period)
{
    for (milliseconds at { 0 }; at < length; at += sampleInterval)
        peak.record(at % period < milliseconds(500) ? raised : usual, from + at);
    return from + length;
}

} // namespace

TEST_CASE("what came twice is expected again, until nothing like it came for ten seconds")
{
    recurring_peak peak;
    const instant start = instant() + std::chrono::hours(1);
    const instant end = recordShifts(peak, start, milliseconds(6'000), milliseconds(2'400));
    CHECK(peak.value(end) == doctest::Approx(raised));
    CHECK(peak.value(end + milliseconds(1'200)) == doctest::Approx(raised));
    CHECK(peak.value(end + milliseconds(10'000)) == 0);
}

TEST_CASE("a single excess, however long, predicts nothing")
{
    recurring_peak peak;
    const instant start = instant() + std::chrono::hours(1);
    instant end = recordShifts(peak, start, milliseconds(2'400), milliseconds(2'400));
    CHECK(peak.value(end) == 0);
    for (; end < start + milliseconds(8'000); end += sampleInterval)
        peak.record(end < start + milliseconds(5'000) ? raised : usual, end);
    CHECK(peak.value(end) == doctest::Approx(raised));

    recurring_peak once;
    for (end = start; end < start + milliseconds(6'000); end += sampleInterval)
        once.record(end < start + milliseconds(2'000) || end >= start + milliseconds(4'000) ? usual : raised, end);
    CHECK(once.value(end) == 0);
}

TEST_CASE("of two peaks the lower one has recurred")
{
    recurring_peak peak;
    const instant start = instant() + std::chrono::hours(1);
    peak.record(30, start);
    peak.record(usual, start + milliseconds(1'000));
    peak.record(raised, start + milliseconds(2'000));
    CHECK(peak.value(start + milliseconds(2'000)) == doctest::Approx(raised));
}
