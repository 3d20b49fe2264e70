#include "policy/requests/admission_share.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // Fraction of the capacity that is shared out. Servers are chosen by counts that are 0.2 s old, so
    // that with the whole capacity some ranks get a queue while others have free slots.
    constexpr double sharedFraction = 0.85;
    // Counts from engines are up to 0.3 s old. When a group opens, all waiting callers are sent at one
    // moment, and for a while the counts do not show their requests: free slots by these counts are not used.
    constexpr milliseconds countsSettleTime { 1'000 };
    // Without it, an entry VM in a large fleet could send nothing. With more entry VMs than half of the slots, the shares
    // together exceed the capacity, and the engines' queues take the rest.
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
