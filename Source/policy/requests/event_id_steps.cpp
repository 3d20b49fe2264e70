#include "policy/requests/event_id_steps.h"

#include <algorithm>
#include <charconv>

namespace rampgap {

namespace {

    // Steps from which a usual one is concluded.
    constexpr int minSeen = 64;
    // Steps after which the earlier ones count half: a service may number its events otherwise from some time on.
    constexpr int maxSeen = 4'096;
    // Of 10 steps, as many must be the usual one: the last event of a stream may hold fewer tokens.
    constexpr int usualOfTen = 9;
    // A step that did not come again in so many times half of that is forgotten: one of few routes may have it, and would be taken for
    // garbage.
    constexpr int maxUnseen = 4;
    // Runs that must have shown a step before it counts as one that the service's ids may rise by: a single server's garbage
    // must not decide it.
    constexpr int minRuns = 3;
    // Different steps that are remembered, of a run and of a service: one with more has no usual step.
    constexpr std::size_t maxSteps = 16;
    // Steps from which a run's only one is told.
    constexpr int minOfRun = 3;

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

void run_steps::record(std::uint64_t previous, std::uint64_t next)
{
    if (next <= previous)
        return;
    const std::uint64_t step = next - previous;
    if (step != m_newest) {
        flush();
        m_newest = step;
        m_newestCount = 0;
    }
    ++m_newestCount;
}

void run_steps::flush()
{
    if (m_newestCount > 0 && (m_counts.size() < maxSteps || m_counts.contains(m_newest)))
        m_counts[m_newest] += m_newestCount;
}

std::uint64_t run_steps::largest() const
{
    const std::uint64_t newest = m_newestCount > 0 ? m_newest : 0;
    return m_counts.empty() ? newest : std::max(newest, m_counts.rbegin()->first);
}

std::map<std::uint64_t, int> run_steps::counts() const
{
    run_steps all = *this;
    all.flush();
    return all.m_counts;
}

std::optional<std::uint64_t> run_steps::only() const
{
    if (!m_counts.empty() || m_newestCount < minOfRun)
        return std::nullopt;
    return m_newest;
}

void event_id_steps::record(const run_steps& run)
{
    for (const auto& [step, count] : run.counts()) {
        if (m_steps.size() >= maxSteps && !m_steps.contains(step)) {
            const auto rarest = std::min_element(m_steps.begin(), m_steps.end(), [](const auto& left, const auto& right) { return left.second.runs < right.second.runs; });
            m_steps.erase(rarest);
        }
        auto& seen = m_steps[step];
        seen.runs = std::min(seen.runs + 1, maxSeen);
        seen.halvedUnseen = 0;
        seen.steps += count;
        m_seen += count;
    }
    if (m_seen < maxSeen)
        return;
    m_seen /= 2;
    for (auto& [step, seen] : m_steps) {
        seen.steps /= 2;
        ++seen.halvedUnseen;
    }
    std::erase_if(m_steps, [](const auto& each) { return each.second.halvedUnseen > maxUnseen; });
}

bool event_id_steps::isKnown() const
{
    return m_seen >= minSeen;
}

std::optional<std::uint64_t> event_id_steps::usual() const
{
    if (!isKnown())
        return std::nullopt;
    for (auto each = m_steps.rbegin(); each != m_steps.rend(); ++each) {
        const auto& [step, seen] = *each;
        if (seen.runs >= minRuns)
            return seen.steps * 10 >= m_seen * usualOfTen ? std::optional(step) : std::nullopt;
    }
    return std::nullopt;
}

} // namespace rampgap
