// Finds out whether a server that ended calls has crashed, and keeps which requests it ran.
#pragma once

#include "daemon/decision_log.h"
#include "daemon/http_message.h"
#include "gateway/fleet_state.h"
#include "policy/crash_detector.h"
#include "policy/crash_history.h"

#include <functional>

namespace rampgap {

class crash_reporter {
public:
    crash_reporter(process_context&, decision_log&, fleet_state&, crash_history&);

    // Called when the history has news for the fleet.
    void onNews(std::function<void()> action) { m_onNews = std::move(action); }

    void noteLost(const listed_backend&, const lost_call&);
    // A server ran the request to its end.
    void noteServed(request_fingerprint);
    // Periodic work: says which requests are barred; a server that fell silent is known to have crashed when it is listed anew.
    void settle();

private:
    // Looks whether anything listens at the server's address.
    awaitable<void> look(listed_backend);
    void noteCrashed(const server_life&, const std::string& address, const std::string& why);
    void report(const server_life&, const lost_call&);
    // It runs under its id or at its address in a later life.
    bool startedAnew(const server_life&) const;

    process_context& m_context;
    decision_log& m_log;
    fleet_state& m_state;
    void logBarred();
    void tell();

    crash_history& m_history;
    crash_detector m_detector;
    std::function<void()> m_onNews;
    // As last logged.
    std::set<request_fingerprint> m_barred;
    // Of the servers that calls were lost at.
    std::map<server_life, listed_backend> m_servers;
};

} // namespace rampgap
