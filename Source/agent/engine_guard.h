// Keeps requests from the engine that engines crash under; learns of them from its own and others.
#pragma once

#include "daemon/crash_watch.h"
#include "policy/requests/crash_history.h"

#include <functional>

namespace rampgap {

class engine_guard : private crash_listener {
public:
    // `engine`: its address; `name`: of its backend server.
    engine_guard(process_context&, crash_history&, std::string name, std::string engine);

    // Called when the history has news for the fleet.
    void onNews(std::function<void()> action) { m_onNews = std::move(action); }
    // Set if the engine may not run the request.
    std::optional<failure> barred(request_fingerprint, const std::vector<request_fingerprint>& parts);
    // The life of the engine that a call which is sent now goes to.
    const server_incarnation& life() const { return m_life; }
    // The engine ended the call without a whole answer; returns when it is known whether it
    // crashed: the entry VM then asks.
    awaitable<void> recordLost(server_incarnation, lost_call);
    // The engine ended the connection of an answer: what has become of it. If it has crashed, the call counts as lost.
    awaitable<server_fate> awaitFate(server_incarnation, lost_call, bool settled);
    // Nothing listened at its address.
    void recordRefusedConnection(const server_incarnation& life) { m_watch.recordRefusedConnection(life, m_engine); }
    // The engine ran the request to its end.
    void recordServed(request_fingerprint, const std::vector<request_fingerprint>& parts);

private:
    void onServerCrashed(const server_incarnation&, const std::string& address, const std::string& why, std::size_t calls) override;
    void onCallCrashed(const server_incarnation&, const lost_call&) override;
    void onProbeUnanswered(const server_incarnation&, const std::string& address, const std::string& reason) override;
    void tell();

    process_context& m_context;
    crash_history& m_history;
    crash_watch m_watch;
    std::string m_engine;
    // An engine has no number of its own: each crash that was seen ends a life.
    server_incarnation m_life;
    std::function<void()> m_onNews;
};

} // namespace rampgap
