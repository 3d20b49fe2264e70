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
    crash_reporter(process_context&, decision_log&, fleet_state&, crash_history&, http_request ping);

    // Called when the history has news for the fleet.
    void onNews(std::function<void()> action) { m_onNews = std::move(action); }
    void recordLost(const listed_backend&, const lost_call&);
    // The call was ended here, before its answer had come.
    void recordWithdrawn(const listed_backend&, const lost_call&);
    // Nothing listened at its address.
    void noteRefused(const listed_backend&);
    // The first part of the answer to a call that was sent then has come.
    void recordAnswered(const listed_backend& backend, instant sentAt) { m_watch.recordAnswered(lifeOf(backend), sentAt); }
    // Returns when the server has crashed or has answered, or when this cannot be seen now.
    awaitable<void> awaitLook(const listed_backend& backend) { return m_watch.awaitLook(lifeOf(backend)); }
    // A server ran the request to its end.
    void recordServed(request_fingerprint);
    // Periodic work: says which requests are barred; a server that fell silent is known to have
    // crashed when it is listed anew.
    void settle();

private:
    static server_incarnation lifeOf(const listed_backend& backend) { return { backend.id, backend.incarnation }; }
    // Its calls may have crashed it; what leaves ends them for another reason.
    bool mayHaveCrashed(const listed_backend&) const;
    // Another process saw the end of the life with this hash.
    void noteEndTold(std::uint32_t lifeHash);
    void onServerCrashed(const server_incarnation&, const std::string& address, const std::string& why, std::size_t calls) override;
    void onCallCrashed(const server_incarnation&, const lost_call&) override;
    void onLookUnanswered(const server_incarnation&, const std::string& address, const std::string& reason) override;
    // It runs under its id or at its address in a later life.
    bool startedAnew(const server_incarnation&, const std::string& address) const;
    void noteIfStartedAnew(const server_incarnation&, const std::string& address);
    void logBarred();
    void tell();

    process_context& m_context;
    decision_log& m_log;
    fleet_state& m_state;
    crash_history& m_history;
    crash_watch m_watch;
    std::function<void()> m_onNews;
    // Addresses of the servers that calls were lost at.
    std::map<server_incarnation, std::string> m_addresses;
    // As last logged.
    std::set<request_fingerprint> m_barred;
};

} // namespace rampgap
