#include "policy/admission_share.h"

#include <algorithm>

namespace rampgap {

namespace {

    // Below this share of the capacity a refusal would turn away work that there is room for;
    // callers are spread unevenly over entry VMs. The users price refusals below a half.
    constexpr int loadedTenths = 6;
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
    return std::max(leastShare, (question.capacity + entries - 1) / entries);
}

} // namespace rampgap
