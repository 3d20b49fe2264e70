// Turns an engine's running counts of chosen experts into what was chosen since the last look.
#pragma once

#include <cstdint>
#include <vector>

namespace rampgap {

class choice_counter {
public:
    // Choices since the last look; empty at the first one. Counts that fell were begun anew
    // with the engine: then all of them are new.
    std::vector<std::uint64_t> take(std::vector<std::uint64_t> counts);

private:
    std::vector<std::uint64_t> m_last;
};

} // namespace rampgap
