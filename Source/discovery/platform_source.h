// What the platform publishes, behind an interface: it can be read and watched only.
#pragma once

#include "daemon/http_message.h"
#include "discovery/vm_list.h"
#include "policy/revision_chain.h"

#include <memory>
#include <string>
#include <vector>

namespace rampgap {

class http_client;
class process_context;

class platform_source {
public:
    virtual ~platform_source() = default;

    // The latest declarations, oldest first, at most `count`.
    virtual awaitable<result<std::vector<published_document>>> latestDeclarations(int count) = 0;
    // Declarations after `revision`; waits up to `wait` for the first. Empty after that.
    virtual awaitable<result<std::vector<published_document>>> watchDeclarations(std::uint64_t revision, milliseconds wait) = 0;
    // The VM list once it is newer than the held one; waits up to `wait`.
    virtual awaitable<result<vm_list>> watchVms(store_position held, milliseconds wait) = 0;

    // The configuration service over HTTP; each call counts as one read there.
    static std::unique_ptr<platform_source> makeHttp(process_context&, http_client&, std::string address);
};

} // namespace rampgap
