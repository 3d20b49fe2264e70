// Detects which backend servers crashed, and which requests they were running at that time.
#pragma once

#include "policy/common/verdict.h"
#include "policy/requests/request_fingerprint.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rampgap {

// One incarnation of a backend server, which may be started again under the same id.
struct server_incarnation {
    std::string id;
    std::uint64_t incarnation = 0;

    auto operator<=>(const server_incarnation&) const = default;
};

// Identifies an incarnation to other processes; 32 bits of a hash.
std::uint32_t hashOf(const server_incarnation&);

// A call that ended without a whole answer: the server broke it off, or this process withdrew it.
struct lost_call {
    std::string requestId;
    request_fingerprint request;
    // Whole events that had been received.
    std::uint64_t events = 0;
    instant sentAt;
    instant lostAt;
    // The parts of its prompt, in their order; the last one belongs to the request itself or to its session.
    std::vector<request_fingerprint> parts {};

    bool operator==(const lost_call&) const = default;
};

class crash_detector {
public:
    enum class finding {
        // It is unknown whether the server still runs: the caller is to probe it.
        probe,
        // The same, and a probe is already under way.
        wait,
        // The server has crashed, and the request was running there.
        crashed,
    };

    finding recordLost(const server_incarnation&, const lost_call&, instant now);
    // This process ended the call. The server may have begun to run it and may still crash because of it.
    // No probe is needed. True if the server is known to have crashed.
    bool recordWithdrawn(const server_incarnation&, const lost_call&, instant now);
    // The server answered a call that was sent at `sentAt`, so calls that were withdrawn before then did not crash it.
    void recordAnswered(const server_incarnation&, instant sentAt);
    // The server has kept listening for long: whatever broke off its calls up to `then` was no crash.
    void recordAlive(const server_incarnation&, instant then);
    // A probe has not shown whether the server crashed: it got no answer, or the server still listened and
    // may be running or still ending. No further probe is requested until the next call is lost.
    void recordUndecided(const server_incarnation&);
    // Records that the server has crashed: nothing listens at its address, or it was restarted. Removes and
    // returns the calls that it was running.
    std::vector<lost_call> recordCrashed(const server_incarnation&, instant now);
    bool hasCrashed(const server_incarnation&, instant now) const;
    // The server answered a probe that was sent, or waited for, at `then`.
    void recordProbeAnswered(const server_incarnation&, instant then);
    // True if a probe showed that the server's process worked at `then` or later.
    bool answeredSince(const server_incarnation&, instant then) const;

    // Calls at the server ended, and it is not known whether the server did.
    bool isUndecided(const server_incarnation& server) const { return m_suspicions.contains(server); }
    // True until the probe that `recordLost` asked for has a result.
    bool isProbing(const server_incarnation&) const;
    // Incarnations of which it is not known whether they ended.
    std::vector<server_incarnation> undecided() const;
    // The undecided incarnation with this hash, if any.
    std::optional<server_incarnation> findUndecided(std::uint32_t hash) const;
    // Drops calls and crashes that are too old to matter.
    void expire(instant now);

private:
    struct suspicion {
        std::vector<lost_call> calls;
        // Oldest first.
        std::deque<lost_call> withdrawn;
        bool isProbing = false;

        bool empty() const { return calls.empty() && withdrawn.empty() && !isProbing; }
    };

    std::map<server_incarnation, suspicion> m_suspicions;
    std::map<server_incarnation, instant> m_crashed;
    // When each server last answered a probe.
    std::map<server_incarnation, instant> m_probeAnswered;
};

} // namespace rampgap
