#include "policy/admission_share.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // Part of the capacity that is shared out. Servers are chosen by counts that are 0.2 s old:
    // with all of it given out, some ranks have a queue while others have room. Mean worth of
    // 15 days with trouble: 0.56 against 0.55 for 1.0 and for 0.75.
    constexpr double sharedPart = 0.85;
    // However many entry VMs there are, each may try.
    constexpr int leastShare = 2;

} // namespace

int admissionShare(const admission_share_question& question)
{
    const auto entries = static_cast<double>(std::max<std::size_t>(1, question.entries));
    const double shared = question.capacity * sharedPart;
    // Callers are spread unevenly over entry VMs: each may use its part of what is free. By the
    // same count, what it has: what was sent since makes room for nothing more.
    const double counted = std::max(0, question.own - question.uncounted);
    const double partOfFree = std::max(0.0, shared - std::max(0, question.load - question.uncounted)) / entries;
    const double share = std::max(shared / entries, counted + partOfFree);
    return std::max(leastShare, static_cast<int>(std::ceil(share)));
}

} // namespace rampgap
