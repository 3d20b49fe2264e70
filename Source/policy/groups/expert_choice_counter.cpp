#include "policy/groups/expert_choice_counter.h"

#include <algorithm>

namespace rampgap {

std::vector<std::uint64_t> expert_choice_counter::countSinceLast(std::vector<std::uint64_t> counts, std::uint64_t incarnation)
{
    std::vector<std::uint64_t> since;
    if (counts.size() == m_last.size()) {
        since = counts;
        const bool continues = incarnation == m_incarnation && std::equal(m_last.begin(), m_last.end(), counts.begin(), [](std::uint64_t before, std::uint64_t now) { return before <= now; });
        if (continues)
            std::transform(counts.begin(), counts.end(), m_last.begin(), since.begin(), std::minus<>());
    }
    m_last = std::move(counts);
    m_incarnation = incarnation;
    return since;
}

} // namespace rampgap
