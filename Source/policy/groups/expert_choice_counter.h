// Turns an engine's cumulative counts of chosen experts into counts since the previous call.
#pragma once

#include <cstdint>
#include <vector>

namespace rampgap {

class expert_choice_counter {
public:
    // Choices since the previous call; empty at the first one. Counts that decreased, or that come
    // from another incarnation of the engine, started again from 0: then all of them are new.
    std::vector<std::uint64_t> countSinceLast(std::vector<std::uint64_t> counts, std::uint64_t incarnation);

private:
    std::uint64_t m_incarnation = 0;
    std::vector<std::uint64_t> m_last;
};

} // namespace rampgap
