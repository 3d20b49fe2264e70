// Tracks which agents of a group answer the calls of their leader.
#pragma once

#include "policy/groups/call_tree.h"

#include <map>
#include <string>

namespace rampgap {

// Load pattern: of a hundred machines a few are always down, cut off or stalled. An agent that
// does not answer delays one call up to its timeout; later calls bypass it.
class reachability_tracker {
public:
    void record(const std::string& backendId, bool reached, instant now);
    agent_reachability reachability(const std::string& backendId, instant now) const;

private:
    // When each agent that cannot be reached last failed to answer.
    std::map<std::string, instant> m_failedAt;
};

} // namespace rampgap
