// Does something when a caller goes away, as long as this object lives.
#pragma once

#include "daemon/http_server.h"

namespace rampgap {

// Declare it after what the action refers to: it must end first. An action that outlives the
// call it cancels runs in freed memory, when the caller of a refused request closes its
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
