#include "policy/crash_detector.h"

#include <xxhash.h>

namespace rampgap {

namespace {

    // A server that fell silent as it crashed is back, and listed anew, after about four seconds.
    constexpr milliseconds suspicionLife { 10'000 };
    // Calls at a crashed server are found to be lost within a few milliseconds of each other,
    // silent ones within the callers' patience of two seconds.
    constexpr milliseconds crashedLife { 10'000 };
    // Calls kept for one life: what a server runs at once and a few that wait there. Bounds the
    // memory where thousands wait at one server.
    constexpr std::size_t mostCalls = 64;

} // namespace

std::uint32_t hashOf(const server_life& life)
{
    return static_cast<std::uint32_t>(XXH64(life.id.data(), life.id.size(), life.incarnation));
}

crash_detector::finding crash_detector::noteLost(const server_life& life, const lost_call& call, instant now)
{
    const auto crashed = m_crashed.find(life);
    if (crashed != m_crashed.end() && now - crashed->second < crashedLife)
        return finding::crashed;
    auto& held = m_suspicions[life];
    if (held.calls.size() < mostCalls)
        held.calls.push_back(call);
    return std::exchange(held.looking, true) ? finding::wait : finding::look;
}

// What was lost after the look had been sent is older than its answer, too.
void crash_detector::noteAlive(const server_life& life, instant now)
{
    const auto held = m_suspicions.find(life);
    if (held == m_suspicions.end())
        return;
    held->second.looking = false;
    std::erase_if(held->second.calls, [now](const lost_call& call) { return call.lostAt <= now; });
    if (held->second.calls.empty())
        m_suspicions.erase(held);
}

void crash_detector::noteNoAnswer(const server_life& life)
{
    const auto held = m_suspicions.find(life);
    if (held != m_suspicions.end())
        held->second.looking = false;
}

std::vector<lost_call> crash_detector::noteCrashed(const server_life& life, instant now)
{
    m_crashed.emplace(life, now);
    const auto held = m_suspicions.find(life);
    if (held == m_suspicions.end())
        return {};
    auto calls = std::move(held->second.calls);
    m_suspicions.erase(held);
    return calls;
}

bool crash_detector::looking(const server_life& life) const
{
    const auto held = m_suspicions.find(life);
    return held != m_suspicions.end() && held->second.looking;
}

std::vector<server_life> crash_detector::undecided() const
{
    std::vector<server_life> lives;
    for (const auto& [life, held] : m_suspicions)
        lives.push_back(life);
    return lives;
}

void crash_detector::settle(instant now)
{
    std::erase_if(m_crashed, [now](const auto& crashed) { return now - crashed.second >= crashedLife; });
    for (auto& [life, held] : m_suspicions)
        std::erase_if(held.calls, [now](const lost_call& call) { return now - call.lostAt >= suspicionLife; });
    std::erase_if(m_suspicions, [](const auto& held) { return held.second.calls.empty() && !held.second.looking; });
}

} // namespace rampgap
