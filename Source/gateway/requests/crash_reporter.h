// Records which requests were running on servers as they crashed, logs this and triggers its
// publication.
#pragma once

#include "daemon/crash_watch.h"
#include "daemon/decision_log.h"
#include "gateway/fleet/fleet_state.h"
#include "policy/requests/crash_history.h"

#include <functional>
#include <set>

namespace rampgap {

class crash_reporter : private crash_listener {
public:
    crash_reporter(process_context&, decision_log&, fleet_state&, crash_history&, http_request probeRequest);

    // Called when the history has new records for the fleet.
    void onUpdate(std::function<void()> action) { m_onUpdate = std::move(action); }
    void recordLostCall(const listed_backend&, const lost_call&);
    // The call was ended by this process before its answer had arrived.
    void recordWithdrawnCall(const listed_backend&, const lost_call&);
    // An answer ended with its connection: what has become of its server. If it has crashed, the call counts as lost.
    // `settled`: see `crash_watch::awaitFate`.
    awaitable<server_fate> awaitFate(listed_backend, lost_call, bool settled);
    // A connection to the server was refused: nothing listened at its address.
    void recordRefusedConnection(const listed_backend&);
    // The first part of the answer to a call sent at `sentAt` has arrived.
    void recordAnswer(const listed_backend& backend, instant sentAt) { m_watch.recordAnswered(incarnationOf(backend), sentAt); }
    // Returns when the server is known to have crashed or has answered, or when this cannot be
    // determined now.
    awaitable<void> awaitProbe(const listed_backend& backend) { return m_watch.awaitProbe(incarnationOf(backend)); }
    // A server ran the request to completion.
    void recordServed(request_fingerprint);
    // A server began to answer a prompt with these parts and did not crash.
    void recordSurvived(const std::vector<request_fingerprint>& parts);
    // Periodic work: logs which requests are blocked, and records the crash of a silent server once a
    // new incarnation of it is listed.
    void runPeriodicWork();

private:
    static server_incarnation incarnationOf(const listed_backend& backend) { return { backend.id, backend.incarnation }; }
    // False for a server that is leaving: it ends its calls for another reason than a crash.
    bool isCrashPossible(const listed_backend&) const;
    // Another process saw the end of the incarnation with this hash.
    void recordPeerReport(std::uint32_t incarnationHash);
    void onServerCrashed(const server_incarnation&, const std::string& address, const std::string& why, std::size_t calls) override;
    void onCallCrashed(const server_incarnation&, const lost_call&) override;
    void onProbeUnanswered(const server_incarnation&, const std::string& address, const std::string& reason) override;
    // True if a later incarnation is listed under its id, or another server at its address.
    bool hasRestarted(const server_incarnation&, const std::string& address) const;
    void recordIfRestarted(const server_incarnation&, const std::string& address);
    void logBlocked();
    void notifyUpdate();

    process_context& m_context;
    decision_log& m_log;
    fleet_state& m_state;
    crash_history& m_history;
    crash_watch m_watch;
    std::function<void()> m_onUpdate;
    // Addresses of the servers at which calls were lost or withdrawn.
    std::map<server_incarnation, std::string> m_addresses;
    // The blocked requests as last logged.
    std::set<request_fingerprint> m_blocked;
};

} // namespace rampgap
