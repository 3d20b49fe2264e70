#include "policy/requests/event_id_steps.h"

#include <charconv>

namespace rampgap {

namespace {

    // Steps from which a usual one is concluded.
    constexpr int minSeen = 64;
    // Steps after which the earlier ones count half: a service may number its events otherwise from some time on.
    constexpr int maxSeen = 4'096;
    // Of 10 steps, as many must be the usual one: the last event of a stream may hold fewer tokens.
    constexpr int usualOfTen = 9;

} // namespace

std::optional<std::uint64_t> eventNumber(std::string_view id)
{
    std::uint64_t number = 0;
    const char* const end = id.data() + id.size();
    const auto parsed = std::from_chars(id.data(), end, number);
    if (id.empty() || parsed.ec != std::errc() || parsed.ptr != end)
        return std::nullopt;
    return number;
}

void event_id_steps::record(std::uint64_t previous, std::uint64_t next)
{
    if (next <= previous)
        return;
    const std::uint64_t step = next - previous;
    if (step > m_largest) {
        m_largest = step;
        m_atLargest = 0;
    }
    m_atLargest += step == m_largest ? 1 : 0;
    if (++m_seen < maxSeen)
        return;
    m_seen /= 2;
    m_atLargest /= 2;
    // A large step that did not come again is forgotten.
    if (m_atLargest == 0)
        *this = {};
}

std::optional<std::uint64_t> event_id_steps::usual() const
{
    if (m_seen < minSeen || m_atLargest * 10 < m_seen * usualOfTen)
        return std::nullopt;
    return m_largest;
}

} // namespace rampgap
