// Which backend servers crashed, and which requests they were running as they did.
#pragma once

#include "policy/request_fingerprint.h"
#include "policy/verdict.h"

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rampgap {

// One life of a backend server: it may be started again under its id.
struct server_life {
    std::string id;
    std::uint64_t incarnation = 0;

    auto operator<=>(const server_life&) const = default;
};

// Names a life to other processes; 32 bits of a hash.
std::uint32_t hashOf(const server_life&);

// A call that ended without its whole answer: the server broke it off, or we withdrew it.
struct lost_call {
    std::string requestId;
    request_fingerprint request;
    // Whole events that had come.
    std::uint64_t events = 0;
    instant sentAt;
    instant lostAt;

    bool operator==(const lost_call&) const = default;
};

class crash_detector {
public:
    enum class finding {
        // Not known yet whether the server lives: somebody is to look.
        look,
        // Somebody is looking already.
        wait,
        // The server has crashed, and the request was running there.
        crashed,
    };

    finding noteLost(const server_life&, const lost_call&, instant now);
    // We ended the call. The server may have begun to run it and may crash for that reason later
    // on. Nobody needs to look. True if it is known to have crashed.
    bool noteWithdrawn(const server_life&, const lost_call&, instant now);
    // The server answered a call that was sent then: it has outlived what was withdrawn before.
    void noteAnswered(const server_life&, instant sentAt);
    // The server has gone on listening for long: whatever broke off its calls until then, it was no crash.
    void noteAlive(const server_life&, instant then);
    // A look ended and nothing is sure: it brought no answer, or the server still listened, which
    // lives or takes longer to end than the look. Nobody looks until the next call is lost.
    void noteUndecided(const server_life&);
    // Nothing listens at its address, or it was started anew. Returns the calls that it had.
    std::vector<lost_call> noteCrashed(const server_life&, instant now);
    bool hasCrashed(const server_life&, instant now) const;

    // Calls at it ended, and it is not known whether it did.
    bool isInQuestion(const server_life& life) const { return m_suspicions.contains(life); }
    // True until the look that `noteLost` asked for has brought something.
    bool looking(const server_life&) const;
    // Lives of which it is not known whether they ended.
    std::vector<server_life> undecided() const;
    // The one of these with this hash, if any.
    std::optional<server_life> findUndecided(std::uint32_t hash) const;
    // Forgets what nobody found out about.
    void settle(instant now);

private:
    struct suspicion {
        std::vector<lost_call> calls;
        // Oldest first.
        std::deque<lost_call> withdrawn;
        bool looking = false;

        bool empty() const { return calls.empty() && withdrawn.empty() && !looking; }
    };

    std::map<server_life, suspicion> m_suspicions;
    std::map<server_life, instant> m_crashed;
};

} // namespace rampgap
