// The calls that are under way, by the backend server that they are at.
#pragma once

#include "daemon/http_client.h"

#include <map>
#include <string>

namespace rampgap {

class call_registry {
public:
    // Registers a call for as long as it lives.
    class registration {
    public:
        registration(call_registry&, const std::string& backendId, http_call&);
        ~registration();
        registration(const registration&) = delete;
        registration& operator=(const registration&) = delete;

        // The registry has ended the call.
        bool ended() const { return m_entry->second.ended; }

    private:
        friend class call_registry;
        struct held_call {
            http_call* call;
            bool ended = false;
        };

        call_registry& m_registry;
        std::multimap<std::string, held_call>::iterator m_entry;
    };

    // Ends all calls at a server that can no longer answer them; returns how many. Their
    // callers are served elsewhere at once, not after the time limit of a silent connection.
    std::size_t end(const std::string& backendId);

private:
    std::multimap<std::string, registration::held_call> m_calls;
};

} // namespace rampgap
