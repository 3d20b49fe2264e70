// Turns an engine's running counts of chosen experts into what was chosen since the last look.
#pragma once

#include <cstdint>
#include <vector>

namespace rampgap {

class choice_counter {
public:
    // Choices since the last look; empty at the first one. Counts that fell, or that come from
    // another incarnation of the engine, were begun anew: then all of them are new.
    std::vector<std::uint64_t> take(std::vector<std::uint64_t> counts, std::uint64_t incarnation);

private:
    std::uint64_t m_incarnation = 0;
    std::vector<std::uint64_t> m_last;
};

} // namespace rampgap
