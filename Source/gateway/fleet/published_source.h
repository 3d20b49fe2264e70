// Read access to the users' metadata store; implemented by a platform's adapter.
#pragma once

#include "daemon/http_message.h"
#include "policy/configuration/published_state.h"

namespace rampgap {

struct published_update {
    std::vector<published_change> changes;
    store_revision revision = 0;
    store_epoch epoch = 0;
    // The store no longer has the requested changes: everything has to be listed again.
    bool historyLost = false;

    bool operator==(const published_update&) const = default;
};

class published_source {
public:
    virtual ~published_source() = default;

    virtual awaitable<result<published_snapshot>> readAll() = 0;
    // Returns the changes after a revision, or none after `wait`.
    virtual awaitable<result<published_update>> watch(store_revision after, milliseconds wait) = 0;
};

} // namespace rampgap
