// The users' metadata store, as far as the fleet reads it; implemented by the adapter.
#pragma once

#include "daemon/http_message.h"
#include "policy/published_state.h"

namespace rampgap {

struct published_update {
    std::vector<published_change> changes;
    store_revision revision = 0;
    store_epoch epoch = 0;
    // The store does not have the changes that were asked for: read everything anew.
    bool historyLost = false;

    bool operator==(const published_update&) const = default;
};

class published_source {
public:
    virtual ~published_source() = default;

    virtual awaitable<result<published_snapshot>> readAll() = 0;
    // Changes after a revision; answers empty after `wait`.
    virtual awaitable<result<published_update>> watch(store_revision after, milliseconds wait) = 0;
};

} // namespace rampgap
