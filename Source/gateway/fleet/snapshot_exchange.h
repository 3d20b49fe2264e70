// Transfers the fleet's state between processes: fetches it from peers that hold a newer one, and
// serves it to others.
#pragma once

#include "daemon/http_client.h"
#include "gateway/fleet/fleet_state.h"
#include "policy/configuration/snapshot_choice.h"

namespace rampgap {

class snapshot_exchange {
public:
    // `controlPort`: the port on which every process serves its state.
    snapshot_exchange(process_context&, decision_log&, fleet_state&, unsigned short controlPort);

    // Records the summary of a peer's state, and fetches that state if it is needed now.
    void recordSummary(const std::string& host, bool sameZone, const state_summary&);
    // True if any peer has reported that it holds state.
    bool anyPeerHasState() const { return m_anyPeerHasState; }
    // Fetches from another zone a change that no peer of the own zone had in time.
    void fetchOverdue();
    // The answer to a peer's request for the state; the request's target names the position it has.
    http_response makeAnswer(const http_request&) const;

private:
    void fetchFrom(const std::optional<std::string>& host);
    awaitable<void> fetch(std::string host);

    process_context& m_context;
    decision_log& m_log;
    fleet_state& m_state;
    unsigned short m_controlPort;
    http_client m_client;
    snapshot_choice m_choice;
    bool m_fetching = false;
    bool m_anyPeerHasState = false;
};

// Path on which a process serves the fleet's state to its peers.
inline constexpr const char* snapshotPath = "/fleet/snapshot";

} // namespace rampgap
