// The calls in progress, by the backend server that runs them.
#pragma once

#include "daemon/http_client.h"
#include "policy/requests/request_fingerprint.h"

#include <map>
#include <string>
#include <vector>

namespace rampgap {

class call_registry {
public:
    // Registers a call for the lifetime of this object.
    class registration {
    public:
        // `suspects`: the request and the parts of its prompt, for whose crashes the call may be withdrawn until the
        // first part of its answer has arrived.
        registration(call_registry&, const std::string& backendId, http_call&, std::vector<request_fingerprint> suspects = {});
        ~registration();
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

        http_call& call() const { return *m_entry->second.call; }
        // The registry cancelled the call since its server was lost.
        bool cancelled() const { return m_entry->second.cancelled; }
        // The registry withdrew the call.
        bool withdrawn() const { return m_entry->second.withdrawn; }
        // The first part of the answer has arrived: the call can no longer be withdrawn.
        void recordFirstBytes() { m_entry->second.suspects.clear(); }

    private:
        friend class call_registry;
        struct registered_call {
            http_call* call;
            std::vector<request_fingerprint> suspects;
            bool cancelled = false;
            bool withdrawn = false;
        };

        call_registry& m_registry;
        std::multimap<std::string, registered_call>::iterator m_entry;
    };

    // Cancels all calls at a server that can no longer answer them; returns how many. Their
    // callers are served elsewhere at once, not after the timeout of a silent connection.
    std::size_t cancelAll(const std::string& backendId);
    // Cancels all calls of a request, or with a part in their prompts, whose answers have not begun; returns how many.
    std::size_t withdraw(request_fingerprint);

private:
    std::multimap<std::string, registration::registered_call> m_calls;
};

} // namespace rampgap
