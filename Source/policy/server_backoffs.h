// Servers that turned this process away and asked it to back off.
#pragma once

#include "policy/server_limits.h"

namespace rampgap {

// A server that asks for more is asked again after this.
inline constexpr milliseconds longestBackoff = std::chrono::hours(24);

// While a backoff lasts this process sends it nothing. After that one request goes there first, and
// others once its answer asks for no more of it.
class server_backoffs {
public:
    // It asked to back off for so long from now on. What it asked for before is not cut short.
    void noteAsked(server_hash, milliseconds backoff, instant now);
    // It answered without asking for it.
    void noteAnswered(server_hash, instant now);
    // The server was started again: nothing that it said holds any more.
    void forget(server_hash server) { m_backoffs.erase(server); }
    // A request is sent to it now.
    void use(server_hash, instant now);

    // True if any server has asked to back off, as far as is remembered.
    bool any() const { return !m_backoffs.empty(); }
    bool maySend(server_hash server, instant now) const { return remaining(server, now) <= duration(0); }
    // Until a request may be sent to it; 0 or less: now.
    duration remaining(server_hash, instant now) const;
    // Until the first of these servers is back; empty if one of them, or none at all, may be sent to now.
    std::optional<milliseconds> untilFirst(const std::vector<server_hash>&, instant now) const;

private:
    struct backoff {
        instant until;
        // Of the first request after it, while that is not answered.
        std::optional<instant> triedAt;
    };

    std::map<server_hash, backoff> m_backoffs;
};

} // namespace rampgap
