// What servers ask of whoever sends to them, besides what the list says of them.
#pragma once

#include "policy/server_limits.h"
#include "policy/server_rests.h"

namespace rampgap {

struct server_wishes {
    server_limits limits;
    server_rests rests;

    // A request of this priority may be sent to the server now.
    bool maySend(server_hash server, int priority, instant now) const { return rests.maySend(server, now) && limits.maySend(server, priority, now); }

    // A request is sent to it now.
    void use(server_hash server, instant now)
    {
        limits.use(server, now);
        rests.use(server, now);
    }

    // The server was started again: nothing that it said holds any more.
    void forget(server_hash server, instant now)
    {
        limits.forget(server, now);
        rests.forget(server);
    }
};

} // namespace rampgap
