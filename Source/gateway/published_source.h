// The users' metadata store, as far as the fleet reads it; implemented by the adapter.
#pragma once

#include "daemon/http_message.h"
#include "policy/backend_directory.h"
#include "policy/fleet_configuration.h"
#include "policy/published_state.h"

#include <memory>

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

// Meaning of the store's items.
class fleet_decoder {
public:
    virtual ~fleet_decoder() = default;

    virtual bool isConfiguration(const std::string& itemKey) const = 0;
    virtual bool isBackend(const std::string& itemKey) const = 0;
    virtual std::string backendId(const std::string& itemKey) const = 0;
    virtual result<std::shared_ptr<const fleet_configuration>> configuration(const std::string& value) const = 0;
    virtual result<listed_backend> backend(const published_item&) const = 0;
};

} // namespace rampgap
