// Finds out whether a server that broke off calls has crashed.
#pragma once

#include "daemon/http_message.h"
#include "daemon/process_context.h"
#include "policy/requests/crash_detector.h"
#include "policy/requests/crash_history.h"

namespace rampgap {

// Receives each finding, on the thread of the process.
class crash_listener {
public:
    virtual ~crash_listener() = default;

    // Called once for each incarnation that crashed.
    virtual void onServerCrashed(const server_incarnation&, const std::string& address, const std::string& why, std::size_t calls) = 0;
    // Called after that, once for each call that the incarnation was running.
    virtual void onCallCrashed(const server_incarnation&, const lost_call&) = 0;
    // A probe had no result. The watch gives up after a few of these.
    virtual void onProbeUnanswered(const server_incarnation&, const std::string& address, const std::string& reason) = 0;
};

// What became of a server after it had ended the connection of an answer.
enum class server_fate {
    // It answers.
    answers,
    ended,
    // Neither is known: it could not be reached, or it accepted connections and answered nothing.
    unknown,
};

class crash_watch {
public:
    // `probeRequest`: a request that any server answers at once while its process works. Findings are
    // recorded in the history before the listener is called.
    crash_watch(process_context&, crash_history&, crash_listener&, http_request probeRequest);

    // A call ended without a complete answer; probes the server unless a probe is under way.
    void recordLost(const server_incarnation&, const std::string& address, const lost_call&);
    // This process ended a call before its answer. The call stays undecided until the server answers
    // a later one or has crashed.
    void recordWithdrawn(const server_incarnation&, const lost_call&);
    // A connection for a call to that incarnation was refused: nothing listened at the address.
    void recordRefusedConnection(const server_incarnation&, const std::string& address);
    // The server answered a call that was sent at `sentAt`.
    void recordAnswered(const server_incarnation& incarnation, instant sentAt) { m_detector.recordAnswered(incarnation, sentAt); }
    // True until the probe that `recordLost` started has a result.
    bool isProbing(const server_incarnation& incarnation) const { return m_detector.isProbing(incarnation); }
    // Returns once the probes have shown a crash or a listening server, or have ended without a result.
    awaitable<void> awaitProbe(server_incarnation);
    // What became of the server whose call, ended at `endedAt`, was given to `recordLost`. A server that is ending may still
    // answer: with `settled`, only an answer counts that came too late for that.
    awaitable<server_fate> awaitFate(server_incarnation, instant endedAt, bool settled);
    // The same of a server whose end is no crash: nothing is recorded.
    awaitable<server_fate> lookAt(std::string address, bool settled);
    bool hasCrashed(const server_incarnation& incarnation) const { return m_detector.hasCrashed(incarnation, m_context.now()); }
    // The server is known to have ended; `why` goes into the log.
    void recordCrashed(const server_incarnation&, const std::string& address, const std::string& why);
    // The incarnation with this hash, if it is undecided whether it crashed.
    std::optional<server_incarnation> findUndecided(std::uint32_t hash) const { return m_detector.findUndecided(hash); }
    // Incarnations of which it is not known whether they ended.
    std::vector<server_incarnation> undecided() const { return m_detector.undecided(); }
    // Drops calls and crashes that are too old to matter.
    void expire() { m_detector.expire(m_context.now()); }

private:
    // Probes the server until it is known whether it has ended, a limited number of times.
    awaitable<void> probe(server_incarnation, std::string address);
    // Probes once more, since a server that still listened may have been ending.
    awaitable<void> confirm(server_incarnation, std::string address, instant listenedAt);
    void recordCallCrashed(const server_incarnation&, const lost_call&);
    bool isLookedAt(const server_incarnation& incarnation) const { return isProbing(incarnation) || m_looks.contains(incarnation); }

    process_context& m_context;
    crash_history& m_history;
    crash_listener& m_listener;
    http_request m_probeRequest;
    crash_detector m_detector;
    // How many probes of each server have begun and have not been followed by their second one yet.
    std::map<server_incarnation, int> m_looks;
};

} // namespace rampgap
