// Read-only access to what the platform publishes: declarations and the VM list.
#pragma once

#include "daemon/http_message.h"
#include "discovery/vm_list.h"
#include "policy/configuration/revision_chain.h"

#include <memory>
#include <string>
#include <vector>

namespace rampgap {

class http_client;
class process_context;

class platform_source {
public:
    virtual ~platform_source() = default;

    // At most `count` of the latest declarations, oldest first.
    virtual awaitable<result<std::vector<published_document>>> latestDeclarations(int count) = 0;
    // Declarations after `revision`. Waits up to `wait` for the first one; empty if none comes.
    virtual awaitable<result<std::vector<published_document>>> watchDeclarations(std::uint64_t revision, milliseconds wait) = 0;
    // The VM list; waits up to `wait` for one that is newer than `known`.
    virtual awaitable<result<vm_list>> watchVms(store_position known, milliseconds wait) = 0;

    // The configuration service over HTTP; each call counts as one read there.
    static std::unique_ptr<platform_source> makeHttp(process_context&, http_client&, std::string address);
};

} // namespace rampgap
