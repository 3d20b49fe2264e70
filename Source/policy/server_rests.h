// Servers that turned this process away and asked it for rest.
#pragma once

#include "policy/server_limits.h"

namespace rampgap {

// While a server rests this process sends it nothing. After that one request goes there first, and
// others once its answer asks for no more rest.
class server_rests {
public:
    // It asked for so much rest from now on. What it asked for before is not cut short.
    void noteAsked(server_hash, milliseconds rest, instant now);
    // It answered without asking for rest.
    void noteAnswered(server_hash, instant now);
    // The server was started again: nothing that it said holds any more.
    void forget(server_hash server) { m_rests.erase(server); }
    // A request is sent to it now.
    void use(server_hash, instant now);

    // True if any server has asked for rest, as far as is remembered.
    bool any() const { return !m_rests.empty(); }
    bool maySend(server_hash server, instant now) const { return remaining(server, now) <= duration(0); }
    // Until a request may be sent to it; 0 or less: now.
    duration remaining(server_hash, instant now) const;
    // Until the first of these servers is back; empty if one of them, or none at all, may be sent to now.
    std::optional<milliseconds> untilFirst(const std::vector<server_hash>&, instant now) const;

private:
    struct rest {
        instant until;
        // Of the first request after it, while that is not answered.
        std::optional<instant> triedAt;
    };

    std::map<server_hash, rest> m_rests;
};

} // namespace rampgap
