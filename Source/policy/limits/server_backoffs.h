// Servers that refused a request of this process and asked it to back off.
#pragma once

#include "policy/limits/server_limits.h"

namespace rampgap {

// Upper bound of a backoff, whatever the server asks for.
inline constexpr milliseconds maxBackoff = std::chrono::hours(24);

// While a server's backoff lasts, this process sends it nothing. After that it sends one request first,
// and others once that is answered without asking for another backoff.
class server_backoffs {
public:
    // The server asked to back off for this time from now on. Doesn't shorten an earlier backoff.
    void recordBackoff(server_hash, milliseconds backoff, instant now);
    // The server answered without asking to back off.
    void recordAnswered(server_hash, instant now);
    // The server was restarted: what it asked for does not apply any more.
    void forget(server_hash server) { m_backoffs.erase(server); }
    // A request is sent to the server now.
    void recordSent(server_hash, instant now);

    // True if any backoff is stored, even one that is over.
    bool any() const { return !m_backoffs.empty(); }
    bool maySend(server_hash server, instant now) const { return remaining(server, now) <= duration(0); }
    // Time until a request may be sent to the server; 0 or less: it may be sent now.
    duration remaining(server_hash, instant now) const;
    // Time until the first of these servers may be sent a request; empty if one of them may be now, or if the
    // list is empty.
    std::optional<milliseconds> untilFirst(const std::vector<server_hash>&, instant now) const;

private:
    struct backoff {
        instant until;
        // When the first request after the backoff was sent; empty if there is none, or it was answered.
        std::optional<instant> firstSentAt;
    };

    std::map<server_hash, backoff> m_backoffs;
};

} // namespace rampgap
