#include "policy/requests/crash_detector.h"

#include <algorithm>
#include <utility>
#include <xxhash.h>

namespace rampgap {

namespace {

    // A server that crashed without closing its connections is restarted and listed again after about four seconds.
    constexpr milliseconds suspicionLifetime { 10'000 };
    // How long a crash is remembered, for calls that are found to be lost after it: those whose connections
    // break within milliseconds, those that only fall silent when their callers give up after two seconds.
    constexpr milliseconds crashedLifetime { 10'000 };
    // Calls kept for one incarnation: those that a server runs at once and some that wait there. Bounds
    // the memory where thousands of calls wait at one server.
    constexpr std::size_t maxCalls = 64;

} // namespace

std::uint32_t hashOf(const server_incarnation& server)
{
    return static_cast<std::uint32_t>(XXH64(server.id.data(), server.id.size(), server.incarnation));
}

bool crash_detector::hasCrashed(const server_incarnation& server, instant now) const
{
    const auto crashed = m_crashed.find(server);
    return crashed != m_crashed.end() && now - crashed->second < crashedLifetime;
}

crash_detector::finding crash_detector::recordLost(const server_incarnation& server, const lost_call& call, instant now)
{
    if (hasCrashed(server, now))
        return finding::crashed;
    auto& entry = m_suspicions[server];
    if (entry.calls.size() < maxCalls)
        entry.calls.push_back(call);
    return std::exchange(entry.isProbing, true) ? finding::wait : finding::probe;
}

// A request may crash a server even after it is withdrawn. If the withdrawn call were not recorded, the
// crash would be blamed on the requests that run beside it, and would count as evidence that this request
// is not the cause.
bool crash_detector::recordWithdrawn(const server_incarnation& server, const lost_call& call, instant now)
{
    if (hasCrashed(server, now))
        return true;
    auto& withdrawn = m_suspicions[server].withdrawn;
    withdrawn.push_back(call);
    if (withdrawn.size() > maxCalls)
        withdrawn.pop_front();
    return false;
}

void crash_detector::recordAnswered(const server_incarnation& server, instant sentAt)
{
    const auto entry = m_suspicions.find(server);
    if (entry == m_suspicions.end())
        return;
    std::erase_if(entry->second.withdrawn, [sentAt](const lost_call& call) { return call.lostAt <= sentAt; });
    if (entry->second.empty())
        m_suspicions.erase(entry);
}

void crash_detector::recordAlive(const server_incarnation& server, instant then)
{
    const auto entry = m_suspicions.find(server);
    if (entry == m_suspicions.end())
        return;
    std::erase_if(entry->second.calls, [then](const lost_call& call) { return call.lostAt <= then; });
    if (entry->second.calls.empty())
        entry->second.isProbing = false;
    if (entry->second.empty())
        m_suspicions.erase(entry);
}

void crash_detector::recordUndecided(const server_incarnation& server)
{
    const auto entry = m_suspicions.find(server);
    if (entry != m_suspicions.end())
        entry->second.isProbing = false;
}

std::vector<lost_call> crash_detector::recordCrashed(const server_incarnation& server, instant now)
{
    m_crashed.emplace(server, now);
    const auto entry = m_suspicions.find(server);
    if (entry == m_suspicions.end())
        return {};
    auto calls = std::move(entry->second.calls);
    calls.insert(calls.end(), entry->second.withdrawn.begin(), entry->second.withdrawn.end());
    m_suspicions.erase(entry);
    return calls;
}

void crash_detector::recordProbeAnswered(const server_incarnation& server, instant then)
{
    auto& newest = m_probeAnswered.try_emplace(server, then).first->second;
    newest = std::max(newest, then);
}

bool crash_detector::answeredSince(const server_incarnation& server, instant then) const
{
    const auto answered = m_probeAnswered.find(server);
    return answered != m_probeAnswered.end() && answered->second >= then;
}

bool crash_detector::isProbing(const server_incarnation& server) const
{
    const auto entry = m_suspicions.find(server);
    return entry != m_suspicions.end() && entry->second.isProbing;
}

std::vector<server_incarnation> crash_detector::undecided() const
{
    std::vector<server_incarnation> servers;
    for (const auto& [server, entry] : m_suspicions)
        servers.push_back(server);
    return servers;
}

std::optional<server_incarnation> crash_detector::findUndecided(std::uint32_t hash) const
{
    const auto found = std::find_if(m_suspicions.begin(), m_suspicions.end(), [hash](const auto& entry) { return hashOf(entry.first) == hash; });
    if (found == m_suspicions.end())
        return std::nullopt;
    return found->first;
}

void crash_detector::expire(instant now)
{
    const auto isOld = [now](const lost_call& call) { return now - call.lostAt >= suspicionLifetime; };
    std::erase_if(m_crashed, [now](const auto& crashed) { return now - crashed.second >= crashedLifetime; });
    std::erase_if(m_probeAnswered, [now](const auto& answered) { return now - answered.second >= suspicionLifetime; });
    for (auto& [server, entry] : m_suspicions) {
        std::erase_if(entry.calls, isOld);
        std::erase_if(entry.withdrawn, isOld);
    }
    std::erase_if(m_suspicions, [](const auto& entry) { return entry.second.empty(); });
}

} // namespace rampgap
