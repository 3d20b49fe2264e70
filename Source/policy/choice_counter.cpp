#include "policy/choice_counter.h"

#include <algorithm>

namespace rampgap {

std::vector<std::uint64_t> choice_counter::take(std::vector<std::uint64_t> counts)
{
    std::vector<std::uint64_t> since;
    if (counts.size() == m_last.size()) {
        since = counts;
        const bool goesOn = std::equal(m_last.begin(), m_last.end(), counts.begin(), [](std::uint64_t before, std::uint64_t now) { return before <= now; });
        if (goesOn)
            std::transform(counts.begin(), counts.end(), m_last.begin(), since.begin(), std::minus<>());
    }
    m_last = std::move(counts);
    return since;
}

} // namespace rampgap
