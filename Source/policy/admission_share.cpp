#include "policy/admission_share.h"

#include <algorithm>
#include <cmath>

namespace rampgap {

namespace {

    // Part of the capacity that is shared out. Servers are chosen by counts that are 0.2 s old:
    // with all of it given out, some ranks have a queue while others have room. Mean worth of
    // 15 days with trouble: 0.56 against 0.55 for 1.0 and for 0.75.
    constexpr double sharedPart = 0.85;
    // Counts from engines are up to 0.3 s old, and after an opening all callers who waited
    // come at one moment, which the counts show too late.
    constexpr milliseconds countsSettle { 1'000 };
    // However many entry VMs there are, each may try.
    constexpr int leastShare = 2;

} // namespace

int admissionShare(const admission_share_question& question)
{
    const auto entries = static_cast<double>(std::max<std::size_t>(1, question.entries));
    const double shared = question.capacity * sharedPart;
    double share = shared / entries;
    // Callers are spread unevenly over entry VMs: each may use its part of what is free.
    const double partOfFree = std::max(0.0, shared - question.load) / entries;
    if (question.openFor >= countsSettle)
        share = std::max(share, question.own + partOfFree);
    return std::max(leastShare, static_cast<int>(std::ceil(share)));
}

} // namespace rampgap
