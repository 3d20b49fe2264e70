// How many requests an agent passes on to its engine: no more than the engine takes.
#pragma once

#include "policy/server_backoffs.h"
#include "policy/token_bucket.h"
#include "policy/verdict.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace rampgap {

// Of an engine that asks for less than it gets; its agent is the only way to it, and counts for all
// entry VMs.
class engine_intake {
public:
    // An answer of the engine named this limit in requests a second, or none.
    void noteLimit(std::optional<double> perSecond, instant now);
    // It turned a request away and wants none for so long. What it asked for before is not cut short.
    void noteBackoff(milliseconds, instant now);
    // It takes no new requests in this life. True if that is new.
    bool noteLeaving() { return !std::exchange(m_leaving, true); }
    // The engine was started again: nothing that it said holds any more.
    void forget();
    // Takes one request of this entry VM in, or refuses it with the time after which it may come.
    result<void> enter(const std::string& entry, instant now);

private:
    // Requests a second that it takes, where it has named a limit.
    double rate() const { return std::max(*m_perSecond, leastPerSecond); }
    milliseconds pauseFor(const std::string& entry, instant now);

    std::optional<double> m_perSecond;
    instant m_backoffUntil {};
    bool m_leaving = false;
    token_bucket m_tokens;
    // When each entry VM was last refused.
    std::map<std::string, instant> m_refused;
};

} // namespace rampgap
