// Finds out whether a server that ended calls has crashed.
#pragma once

#include "daemon/http_message.h"
#include "daemon/process_context.h"
#include "policy/crash_detector.h"
#include "policy/crash_history.h"

namespace rampgap {

// Told of each finding, on the process's thread.
class crash_listener {
public:
    virtual ~crash_listener() = default;

    // Once for each server; then once for each call that it was running.
    virtual void onServerCrashed(const server_incarnation&, const std::string& address, const std::string& why, std::size_t calls) = 0;
    virtual void onCallCrashed(const server_incarnation&, const lost_call&) = 0;
    // A look brought nothing; another one follows after a few at the most.
    virtual void onLookUnanswered(const server_incarnation&, const std::string& address, const std::string& reason) = 0;
};

class crash_watch {
public:
    // `ping`: what any server answers at once while its process works. What the watch finds goes
    // into the history before the listener is told.
    crash_watch(process_context&, crash_history&, crash_listener&, http_request ping);

    // A call ended without its answer; looks at the server if nobody does yet.
    void recordLost(const server_incarnation&, const std::string& address, const lost_call&);
    // We ended a call whose answer had not come: it stays in question until the server has answered
    // something newer or has ended.
    void recordWithdrawn(const server_incarnation&, const lost_call&);
    // Nothing listened when a call to that life was to be sent.
    void noteRefused(const server_incarnation&, const std::string& address);
    // The server answered a call that was sent then.
    void recordAnswered(const server_incarnation& life, instant sentAt) { m_detector.recordAnswered(life, sentAt); }
    // True while it is being looked at.
    bool looking(const server_incarnation& life) const { return m_detector.isProbing(life); }
    // Returns when the server has crashed or has answered, or when this cannot be seen now.
    awaitable<void> awaitLook(server_incarnation);
    // It is known to have ended, for a reason that goes into the log.
    void recordCrashed(const server_incarnation&, const std::string& address, const std::string& why);
    // The life with this hash, if calls at it are in question.
    std::optional<server_incarnation> findUndecided(std::uint32_t hash) const { return m_detector.findUndecided(hash); }
    // Lives of which it is not known whether they ended.
    std::vector<server_incarnation> undecided() const { return m_detector.undecided(); }
    // Forgets what nobody found out about.
    void settle() { m_detector.expire(m_context.now()); }

private:
    // Looks whether it has ended or works until that is known, a few times at the most.
    awaitable<void> look(server_incarnation, std::string address);
    // Looks once more: whoever answered may have been about to end.
    awaitable<void> confirm(server_incarnation, std::string address, instant listenedAt);
    void noteCallCrashed(const server_incarnation&, const lost_call&);

    process_context& m_context;
    crash_history& m_history;
    crash_listener& m_listener;
    http_request m_ping;
    crash_detector m_detector;
};

} // namespace rampgap
