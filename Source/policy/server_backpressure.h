// What servers ask of whoever sends to them, besides what the list says of them.
#pragma once

#include "policy/server_backoffs.h"
#include "policy/server_limits.h"

namespace rampgap {

struct server_backpressure {
    server_limits limits;
    server_backoffs backoffs;

    // A request of this priority may be sent to the server now.
    bool maySend(server_hash server, int priority, instant now) const { return backoffs.maySend(server, now) && limits.maySend(server, priority, now); }

    // A request is sent to it now.
    void use(server_hash server, instant now)
    {
        limits.use(server, now);
        backoffs.use(server, now);
    }

    // The server was started again: nothing that it said holds any more.
    void forget(server_hash server, instant now)
    {
        limits.forget(server, now);
        backoffs.forget(server);
    }
};

} // namespace rampgap
