// Finds out whether a server that ended calls has crashed, and says which requests it ran.
#pragma once

#include "daemon/decision_log.h"
#include "daemon/http_message.h"
#include "gateway/fleet_state.h"
#include "policy/crash_detector.h"

namespace rampgap {

class crash_reporter {
public:
    crash_reporter(process_context&, decision_log&, fleet_state&);

    void noteLost(const listed_backend&, const lost_call&);
    // Periodic work: a server that fell silent is known to have crashed when it is listed anew.
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
    crash_detector m_detector;
    // Of the servers that calls were lost at.
    std::map<server_life, listed_backend> m_servers;
};

} // namespace rampgap
