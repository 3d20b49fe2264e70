// How many requests an agent passes on to its engine: no more than the engine takes.
#pragma once

#include "policy/verdict.h"

#include <map>
#include <string>

namespace rampgap {

// Of an engine with a limit; its agent is the only way to it, and counts for all entry VMs.
class engine_intake {
public:
    // An answer of the engine named this limit in requests a second, or none.
    void noteLimit(std::optional<double> perSecond, instant now);
    // The engine was started again: nothing that it said holds any more.
    void forget();
    // Takes one request of this entry VM in, or refuses it with the time after which it may come.
    result<void> enter(const std::string& entry, instant now);

private:
    milliseconds pauseFor(const std::string& entry, instant now);

    std::optional<double> m_perSecond;
    double m_tokens = 0;
    instant m_filledAt {};
    // When each entry VM was last refused.
    std::map<std::string, instant> m_refused;
};

} // namespace rampgap
