// Decides whether this agent is the leader of its group, the one agent that calls the others.
#pragma once

#include "policy/common/verdict.h"

#include <optional>
#include <string>
#include <vector>

namespace rampgap {

struct leadership_settings {
    // A leader that has not called for this long counts as gone.
    milliseconds leaderTimeout { 900 };
    // The same for an agent that has just started: an active leader calls it within this time.
    milliseconds startupTimeout { 350 };
    // How much later than its predecessor in the list each agent takes over, up to a bound: long
    // enough for the calls of the predecessor to arrive.
    milliseconds stagger { 120 };
    std::size_t maxStaggers = 12;

    bool operator==(const leadership_settings&) const = default;
};

// Each agent decides on its own. Two leaders at a time are harmless, since engines refuse the
// orders of the one with the lower fence; of two that reach each other, the one earlier in the
// list remains. A leader needs no answers to stay the leader, so that it is not replaced while its
// link is saturated for a moment.
class leadership {
public:
    explicit leadership(leadership_settings settings = {})
        : m_settings(settings)
    {
    }

    // Records that the leader `caller` called at that time: this agent, or another one that reports it.
    void recordCall(const std::string& caller, instant at);
    // True if the leader's calls may have been lost: then other agents are to be queried for its
    // last call. Of 129 agents there are always some that miss four calls in a row.
    bool leaderOverdue(instant now) const;
    // When the leader last called, as far as this agent knows; `now` if this agent is the leader.
    std::optional<instant> lastCall(instant now) const;
    // Decides whether the agent `own` leads the `members`, which are in a fixed order.
    bool leads(const std::string& own, const std::vector<std::string>& members, instant now);
    // The leader as far as this agent knows; empty if none has called.
    const std::string& leader() const { return m_leader; }

private:
    milliseconds takeoverTimeout(std::size_t position) const;

    leadership_settings m_settings;
    std::string m_leader;
    bool m_leading = false;
    // When the leader last called; before the first call, when this agent first knew its group.
    std::optional<instant> m_waitingSince;
    bool m_everCalled = false;
};

} // namespace rampgap
