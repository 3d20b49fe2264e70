// Chooses the peer to fetch the fleet's state from when others have a newer one.
#pragma once

#include "policy/common/verdict.h"
#include "policy/configuration/published_state.h"

#include <optional>
#include <string>

namespace rampgap {

// Load pattern: many changes of a large configuration within a second, at a hundred processes.
// Traffic between zones is expensive and links are narrow, so a process first waits until a peer
// of its own zone has the change.
// Items that a peer retains from before a restoration of the store are fetched from any peer at
// once: they are small, and without them a revoked key may be admitted.
class snapshot_choice {
public:
    // Records the summary of a peer's copy. Returns the host to fetch the state from now, if there is one.
    std::optional<std::string> recordPeerSummary(const std::string& host, bool sameZone, const state_summary& peer, const state_summary& own, instant now);
    // The host to fetch from if no peer of the own zone had the change in time.
    std::optional<std::string> overdueFetch(store_position own, instant now) const;

private:
    bool ownZoneWaitOver(instant now) const;
    // True if a peer retains items unknown here that were not just requested.
    bool shouldFetchRetained(const state_summary& peer, const state_summary& own, instant now);

    // The newest position that a peer reported, since when this process lacks one, and that peer.
    store_position m_newest;
    std::optional<instant> m_missingSince;
    std::string m_host;
    // The last two summaries that differed in the retained items, and when these were requested.
    state_summary m_peerSummary;
    state_summary m_ownSummary;
    instant m_retainedRequestedAt {};
};

} // namespace rampgap
