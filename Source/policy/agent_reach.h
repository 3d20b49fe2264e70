// Which agents of a group answer calls, as their leader finds out.
#pragma once

#include "policy/call_tree.h"

#include <map>
#include <string>

namespace rampgap {

// Load pattern: of a hundred machines some are always killed, cut off or standing still. One
// that does not answer costs one call its time, not each call.
class agent_reach {
public:
    void note(const std::string& backendId, bool reached, instant now);
    agent_trust trust(const std::string& backendId, instant now) const;

private:
    // Since when each of those that did not answer is known to be silent.
    std::map<std::string, instant> m_unreachedAt;
};

} // namespace rampgap
