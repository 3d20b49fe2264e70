// Interprets the items of the users' metadata store; a platform's adapter decodes their values.
#pragma once

#include "policy/configuration/fleet_configuration.h"
#include "policy/configuration/item_order.h"
#include "policy/routing/backend_directory.h"

#include <memory>

namespace rampgap {

class fleet_decoder : public item_order {
public:
    virtual bool isConfiguration(const std::string& itemKey) const = 0;
    virtual bool isBackend(const std::string& itemKey) const = 0;
    virtual std::string backendId(const std::string& itemKey) const = 0;
    // True for an operator's request to evacuate a zone. It holds while the item exists, whatever its value is.
    virtual bool isEvacuation(const std::string& itemKey) const = 0;
    virtual std::string evacuatedZone(const std::string& itemKey) const = 0;
    virtual result<std::shared_ptr<const fleet_configuration>> configuration(const std::string& value) const = 0;
    virtual result<listed_backend> backend(const published_item&) const = 0;

    // Configurations are ordered by version and servers by incarnation; all evacuations of a zone are
    // equal. A server that has announced that it leaves, or has gone, does not become ready again in the
    // same incarnation.
    std::optional<item_rank> rank(const published_item&) const override;
    bool staysInForceUnlisted(const published_item&) const override;
    bool endsByRemoval(const published_item&) const override;
};

} // namespace rampgap
