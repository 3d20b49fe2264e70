// Hands the fleet's state from process to process: fetches it from peers that hold a newer
// one, and serves it to others.
#pragma once

#include "daemon/http_client.h"
#include "gateway/fleet_state.h"
#include "policy/snapshot_choice.h"

namespace rampgap {

class snapshot_exchange {
public:
    // `controlPort`: of every process that serves its state.
    snapshot_exchange(process_context&, decision_log&, fleet_state&, unsigned short controlPort);

    // A peer told what it holds.
    void noteTold(const std::string& host, bool sameZone, const state_summary&);
    // True if a peer told of anything that it holds.
    bool anyTold() const { return m_anyTold; }
    // Fetches what nobody of the own zone had in time.
    void fetchDue();
    // The answer to a peer's request for the state, whose target tells what it has.
    http_response answerTo(const http_request&) const;

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
    bool m_anyTold = false;
};

// Where a process serves the fleet's state to its peers.
inline constexpr const char* snapshotPath = "/fleet/snapshot";

} // namespace rampgap
