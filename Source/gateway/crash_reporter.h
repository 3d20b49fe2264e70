// Keeps which requests ran on servers as they crashed, says so in the log, and has it told.
#pragma once

#include "daemon/crash_watch.h"
#include "daemon/decision_log.h"
#include "gateway/fleet_state.h"
#include "policy/crash_history.h"

#include <functional>
#include <set>

namespace rampgap {

class crash_reporter : private crash_listener {
public:
    crash_reporter(process_context&, decision_log&, fleet_state&, crash_history&);

    // Called when the history has news for the fleet.
    void onNews(std::function<void()> action) { m_onNews = std::move(action); }
    void noteLost(const listed_backend&, const lost_call&);
    // Returns when it is known whether the server crashed, or that this cannot be seen now.
    awaitable<void> awaitLook(const listed_backend& backend) { return m_watch.awaitLook({ backend.id, backend.incarnation }); }
    // A server ran the request to its end.
    void noteServed(request_fingerprint);
    // Periodic work: says which requests are barred; a server that fell silent is known to have
    // crashed when it is listed anew.
    void settle();

private:
    void onServerCrashed(const server_life&, const std::string& address, const std::string& why, std::size_t calls) override;
    void onCallCrashed(const server_life&, const lost_call&) override;
    // It runs under its id or at its address in a later life.
    bool startedAnew(const server_life&, const std::string& address) const;
    void logBarred();
    void tell();

    process_context& m_context;
    decision_log& m_log;
    fleet_state& m_state;
    crash_history& m_history;
    crash_watch m_watch;
    std::function<void()> m_onNews;
    // Addresses of the servers that calls were lost at.
    std::map<server_life, std::string> m_addresses;
    // As last logged.
    std::set<request_fingerprint> m_barred;
};

} // namespace rampgap
