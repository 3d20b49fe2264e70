#include "policy/requests/admission_share.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // Fraction of the capacity that is shared out. Servers are chosen by counts that are 0.2 s old, so
    // that with the whole capacity some ranks get a queue while others have free slots.
    // Answers were worth 0.56 on average with this, and 0.55 with 0.75 and with 1.0.
    constexpr double sharedFraction = 0.85;
    // Counts from engines are up to 0.3 s old: as a group opens, all waiting callers arrive at one
    // moment, and the counts show them too late.
    constexpr milliseconds countsSettleTime { 1'000 };
    // Every entry VM may send a few requests, however many entry VMs there are.
    constexpr int minShare = 2;

} // namespace

int admissionShare(const admission_share_input& input)
{
    const auto entries = static_cast<double>(std::max<std::size_t>(1, input.entries));
    const double shared = input.capacity * sharedFraction;
    double share = shared / entries;
    // Callers are spread unevenly over entry VMs, so each may use its part of the free slots as well.
    const double freeShare = std::max(0.0, shared - input.load) / entries;
    if (input.openFor >= countsSettleTime)
        share = std::max(share, input.own + freeShare);
    return std::max(minShare, static_cast<int>(std::ceil(share)));
}

} // namespace rampgap
