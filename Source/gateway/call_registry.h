// The calls that are under way, by the backend server that they are at.
#pragma once

#include "daemon/http_client.h"
#include "policy/request_fingerprint.h"

#include <map>
#include <optional>
#include <string>

namespace rampgap {

class call_registry {
public:
    // Registers a call for as long as it lives.
    class registration {
    public:
        // `request`: set if the call may be taken back while it has not begun.
        registration(call_registry&, const std::string& backendId, http_call&, std::optional<request_fingerprint> request = std::nullopt);
        ~registration();
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

        http_call& call() const { return *m_entry->second.call; }
        // The registry has ended the call.
        bool ended() const { return m_entry->second.ended; }
        // The registry has taken the call back.
        bool takenBack() const { return m_entry->second.takenBack; }
        // The first part of its answer has come.
        void noteBegun() { m_entry->second.request.reset(); }

    private:
        friend class call_registry;
        struct held_call {
            http_call* call;
            std::optional<request_fingerprint> request;
            bool ended = false;
            bool takenBack = false;
        };

        call_registry& m_registry;
        std::multimap<std::string, held_call>::iterator m_entry;
    };

    // Ends all calls at a server that can no longer answer them; returns how many. Their
    // callers are served elsewhere at once, not after the time limit of a silent connection.
    std::size_t end(const std::string& backendId);
    // Takes back all calls of a request that have not begun; returns how many.
    std::size_t takeBack(request_fingerprint);

private:
    std::multimap<std::string, registration::held_call> m_calls;
};

} // namespace rampgap
