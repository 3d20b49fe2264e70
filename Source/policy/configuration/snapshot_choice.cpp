#include "policy/configuration/snapshot_choice.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A change reaches a reader of each zone within about 10 ms, and must be in force within 2 s.
    constexpr milliseconds ownZoneWait { 400 };
    // A failed fetch of retained items is repeated after this time. One that brought nothing new must not be repeated often.
    constexpr milliseconds retainedFetchInterval { 500 };

} // namespace

std::optional<std::string> snapshot_choice::recordPeerSummary(const std::string& host, bool sameZone, const state_summary& peer, const state_summary& own, instant now)
{
    if (shouldFetchRetained(peer, own, now))
        return host;
    if (peer.position <= own.position)
        return std::nullopt;
    if (!m_missingSince || m_newest <= own.position)
        m_missingSince = now;
    m_newest = std::max(m_newest, peer.position);
    m_host = host;
    // A process that holds nothing yet cannot serve requests, so it fetches from any peer.
    if (sameZone || own.position == store_position {} || ownZoneWaitOver(now))
        return host;
    return std::nullopt;
}

std::optional<std::string> snapshot_choice::overdueFetch(store_position own, instant now) const
{
    if (m_newest <= own || !ownZoneWaitOver(now))
        return std::nullopt;
    return m_host;
}

bool snapshot_choice::shouldFetchRetained(const state_summary& peer, const state_summary& own, instant now)
{
    if (peer.position != own.position || peer.retained == 0 || peer.retained == own.retained)
        return false;
    if (peer == m_peerSummary && own == m_ownSummary && now - m_retainedRequestedAt < retainedFetchInterval)
        return false;
    m_peerSummary = peer;
    m_ownSummary = own;
    m_retainedRequestedAt = now;
    return true;
}

bool snapshot_choice::ownZoneWaitOver(instant now) const
{
    return m_missingSince && now - *m_missingSince >= ownZoneWait;
}

} // namespace rampgap
