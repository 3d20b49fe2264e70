#include "policy/admission_share.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Below this part of the capacity a refusal would turn away work that there is room for;
    // callers are spread unevenly over entry VMs. The users price refusals below a half.
    constexpr int loadedTenths = 6;
    // Part of the capacity that is shared out: callers are spread unevenly, and a few requests
    // in an engine's queue keep its batch full. Measured on the users' grown sites against 0.7
    // and 1.0 (docs/design/platform.md).
    constexpr int sharedTenths = 13;
    // Counts from engines are up to 0.3 s old, and after an opening all callers who waited
    // come at one moment, which the counts show too late.
    constexpr milliseconds countsSettle { 1'000 };
    // However many entry VMs there are, each may try.
    constexpr int leastShare = 2;

} // namespace

int admissionShare(const admission_share_question& question)
{
    const bool loaded = question.load * 10 >= question.capacity * loadedTenths;
    if (!loaded && question.openFor >= countsSettle)
        return std::max(leastShare, question.capacity);
    const auto entries = static_cast<int>(std::max<std::size_t>(1, question.entries));
    const int shared = question.capacity * sharedTenths / 10;
    return std::max(leastShare, (shared + entries - 1) / entries);
}

} // namespace rampgap
