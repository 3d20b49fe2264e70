// Limits the requests that an agent passes on to its engine to what the engine accepts.
#pragma once

#include "policy/common/verdict.h"
#include "policy/limits/server_backoffs.h"
#include "policy/limits/token_bucket.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace rampgap {

// Enforces the limit, the backoff and the shutdown that an engine announces. Its agent is the only way to
// the engine and counts the requests of all entry VMs.
class engine_throttle {
public:
    // An answer of the engine named this limit in requests per second, or none.
    void recordReportedLimit(std::optional<double> perSecond, instant now);
    // The engine refused a request and asked for none during this time. Doesn't shorten an earlier backoff.
    void recordBackoff(milliseconds, instant now);
    // The engine takes no new requests in this incarnation. True if that was not known.
    bool recordLeaving() { return !std::exchange(m_leaving, true); }
    // The engine was restarted: nothing that it announced applies any more.
    void forget();
    // Accepts a request of this entry VM, or refuses it with the time after which to retry.
    result<void> enter(const std::string& entry, instant now);

private:
    // Accepted requests per second. Requires that the engine has named a limit.
    double rate() const { return std::max(*m_perSecond, minPerSecond); }
    milliseconds retryDelayFor(const std::string& entry, instant now);

    std::optional<double> m_perSecond;
    instant m_backoffUntil {};
    bool m_leaving = false;
    token_bucket m_tokens;
    // When each entry VM was last refused.
    std::map<std::string, instant> m_refusedAt;
};

} // namespace rampgap
