// What one service's event ids rise by, as far as its streams have shown it.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace rampgap {

// An id as a number; empty if it is none.
std::optional<std::uint64_t> eventNumber(std::string_view id);

class event_id_steps {
public:
    // Two events that followed each other in one run.
    void record(std::uint64_t previous, std::uint64_t next);
    // The step that no other exceeds and nearly all have; empty if there is none, or too few were seen.
    std::optional<std::uint64_t> usual() const;

private:
    std::uint64_t m_largest = 0;
    int m_atLargest = 0;
    int m_seen = 0;
};

} // namespace rampgap
