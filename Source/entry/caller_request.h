// A caller's request, checked and resolved against one declaration.
#pragma once

#include "daemon/http_message.h"
#include "entry/fleet_snapshot.h"
#include "policy/requests/request_fingerprint.h"
#include "policy/requests/request_id.h"

#include <memory>
#include <optional>

namespace rampgap {

struct caller_request {
    // The declaration that all decisions of this request use.
    std::shared_ptr<const fleet_snapshot> fleet;
    const workspace_declaration* workspace = nullptr;
    const service_declaration* service = nullptr;
    std::string correlation;
    // The same when the caller comes again.
    request_fingerprint fingerprint;
    // Set if the request may run at most once.
    std::optional<request_id> onceId;
    int priority = 5;
    instant deadline;
    std::string session;
    // Hash of what the engine may have cached, 0 if unknown.
    std::uint64_t prefix = 0;
    // The beginning of the prompt as a part that other requests may share; empty if there is no prompt.
    std::vector<request_fingerprint> parts;
    bool resumable = false;
    // The count of pauses of this process when the request was read.
    std::uint64_t pauseEpoch = 0;

    // Resolves `request`; `correlation` is used unless the caller gave one.
    static result<caller_request> make(const http_request& request, std::shared_ptr<const fleet_snapshot>, instant receivedAt, std::string correlation);
};

} // namespace rampgap
