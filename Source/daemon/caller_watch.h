// Runs an action if the caller of a request disconnects during the lifetime of this object.
#pragma once

#include "daemon/http_server.h"

namespace rampgap {

// Declare it after the objects that the action uses, so that it is destroyed first. An action that
// outlives the call it cancels accesses freed memory if the caller of a refused request closes its
// connection before it has read the refusal.
class caller_watch {
public:
    caller_watch(http_exchange& exchange, std::function<void()> onGone)
        : m_exchange(exchange)
    {
        m_exchange.onCallerGone(std::move(onGone));
    }
    ~caller_watch() { m_exchange.onCallerGone(nullptr); }
    caller_watch(const caller_watch&) = delete;
    caller_watch& operator=(const caller_watch&) = delete;

private:
    http_exchange& m_exchange;
};

} // namespace rampgap
