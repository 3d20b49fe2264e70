// What servers themselves ask of the processes that send to them: limits and backoffs.
#pragma once

#include "policy/limits/server_backoffs.h"
#include "policy/limits/server_limits.h"

namespace rampgap {

struct server_backpressure {
    server_limits limits;
    server_backoffs backoffs;

    // True if a request of this priority may be sent to the server now.
    bool maySend(server_hash server, int priority, instant now) const { return backoffs.maySend(server, now) && limits.maySend(server, priority, now); }

    // A request is sent to the server now.
    void recordSent(server_hash server, instant now)
    {
        limits.useGrant(server, now);
        backoffs.recordSent(server, now);
    }

    // The server was restarted: what it asked for does not apply any more.
    void forget(server_hash server, instant now)
    {
        limits.forget(server, now);
        backoffs.forget(server);
    }
};

} // namespace rampgap
