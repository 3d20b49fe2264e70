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
    // With fewer slots for each entry VM rounding decides what is sent, so that starts are shared instead.
    constexpr double minSharedSlots = 4;
    // How fast the share shrinks while more run than the capacity: to nothing at an excess of one fifth. If it fell to
    // nothing at once, it would swing between all and nothing with counts that are old.
    constexpr double excessWeight = 5;
    // Without it, an entry VM in a large fleet could send nothing. With more entry VMs than half of the slots, the shares
    // together exceed the capacity, and the engines' queues take the rest.
    constexpr int minShare = 2;
    // Requests that engines count though nobody waits for them must not stop an entry VM for good.
    constexpr int minBoundedShare = 1;

    // Part of the free slots that is shared in proportion to what each entry VM runs. The rest is shared equally, so that
    // an entry VM whose callers have just come gets slots, too.
    constexpr double proportionalPart = 0.5;

    double partOf(double amount, const admission_share_input& input)
    {
        return amount / static_cast<double>(std::max<std::size_t>(1, input.entries));
    }

    // The part of the free slots that this entry VM may use; the parts of all entry VMs add up to the free slots. With
    // equal parts alone, the requests of an entry VM that gets most callers would end faster than it may start new ones.
    double partOfFree(double amount, const admission_share_input& input)
    {
        const double equal = partOf(amount, input);
        if (input.load <= 0)
            return equal;
        const double ownPart = std::min(1.0, static_cast<double>(input.own) / input.load);
        return proportionalPart * amount * ownPart + (1 - proportionalPart) * equal;
    }

} // namespace

double sharedCapacity(const admission_share_input& input)
{
    // A target below the shared fraction leaves slots free as it is, so that ranks get no queues by old counts.
    return input.slots > 0 ? std::min<double>(input.capacity, input.slots * sharedFraction) : input.capacity * sharedFraction;
}

bool sharesStarts(const admission_share_input& input)
{
    return input.slots > 0 && input.openFor >= countsSettleTime && partOf(input.slots * sharedFraction, input) < minSharedSlots;
}

int admissionShare(const admission_share_input& input)
{
    if (sharesStarts(input))
        return input.own + input.starts;
    const double shared = sharedCapacity(input);
    const bool bounded = input.slots > 0 && shared < input.slots * sharedFraction;
    // While more run than fit, an entry VM below its part starts one request at most: running ones end only after seconds,
    // and all streams are late until then.
    const double excess = bounded ? std::max(0.0, input.load - shared) / std::max(1.0, shared) : 0;
    double share = partOf(shared, input) * std::max(0.0, 1 - excessWeight * excess);
    // In a bounded group, what was sent since the counts has used its part of the free slots: else each arrival would
    // be given that part again.
    const int newer = bounded ? input.sentRecently : 0;
    // Callers are spread unevenly over entry VMs, so each may use its part of the free slots as well.
    const double freeShare = partOfFree(std::max(0.0, shared - (input.load - newer)), input);
    if (input.openFor >= countsSettleTime)
        share = std::max(share, input.own - newer + freeShare);
    return bounded ? std::max(minBoundedShare, static_cast<int>(std::floor(share + input.draw))) : std::max(minShare, static_cast<int>(std::ceil(share)));
}

} // namespace rampgap
