#include "policy/crash_detector.h"

#include <algorithm>
#include <utility>
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

bool crash_detector::hasCrashed(const server_life& life, instant now) const
{
    const auto crashed = m_crashed.find(life);
    return crashed != m_crashed.end() && now - crashed->second < crashedLife;
}

crash_detector::finding crash_detector::noteLost(const server_life& life, const lost_call& call, instant now)
{
    if (hasCrashed(life, now))
        return finding::crashed;
    auto& held = m_suspicions[life];
    if (held.calls.size() < mostCalls)
        held.calls.push_back(call);
    return std::exchange(held.looking, true) ? finding::wait : finding::look;
}

// A server that works on a request may be past saving when that is withdrawn. Without this call, the
// crash that follows would be booked to whoever runs beside it, and would speak for the request.
bool crash_detector::noteWithdrawn(const server_life& life, const lost_call& call, instant now)
{
    if (hasCrashed(life, now))
        return true;
    auto& withdrawn = m_suspicions[life].withdrawn;
    withdrawn.push_back(call);
    if (withdrawn.size() > mostCalls)
        withdrawn.pop_front();
    return false;
}

void crash_detector::noteAnswered(const server_life& life, instant sentAt)
{
    const auto held = m_suspicions.find(life);
    if (held == m_suspicions.end())
        return;
    std::erase_if(held->second.withdrawn, [sentAt](const lost_call& call) { return call.lostAt <= sentAt; });
    if (held->second.empty())
        m_suspicions.erase(held);
}

void crash_detector::noteAlive(const server_life& life, instant then)
{
    const auto held = m_suspicions.find(life);
    if (held == m_suspicions.end())
        return;
    std::erase_if(held->second.calls, [then](const lost_call& call) { return call.lostAt <= then; });
    if (held->second.calls.empty())
        held->second.looking = false;
    if (held->second.empty())
        m_suspicions.erase(held);
}

void crash_detector::noteUndecided(const server_life& life)
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
    calls.insert(calls.end(), held->second.withdrawn.begin(), held->second.withdrawn.end());
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

std::optional<server_life> crash_detector::findUndecided(std::uint32_t hash) const
{
    const auto found = std::find_if(m_suspicions.begin(), m_suspicions.end(), [hash](const auto& held) { return hashOf(held.first) == hash; });
    if (found == m_suspicions.end())
        return std::nullopt;
    return found->first;
}

void crash_detector::settle(instant now)
{
    const auto isOld = [now](const lost_call& call) { return now - call.lostAt >= suspicionLife; };
    std::erase_if(m_crashed, [now](const auto& crashed) { return now - crashed.second >= crashedLife; });
    for (auto& [life, held] : m_suspicions) {
        std::erase_if(held.calls, isOld);
        std::erase_if(held.withdrawn, isOld);
    }
    std::erase_if(m_suspicions, [](const auto& held) { return held.second.empty(); });
}

} // namespace rampgap
