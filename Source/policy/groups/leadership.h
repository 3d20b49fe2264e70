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
    // A leader that has not called for this long while it holds a step at the own rank counts as gone:
    // two poll intervals: a leader that misses a single poll is not replaced.
    milliseconds holdTimeout { 200 };
    // How long an observation of a hold counts: three readings of the own engine.
    milliseconds holdLifetime { 300 };

    bool operator==(const leadership_settings&) const = default;
};

// Why this agent took over.
enum class takeover_reason {
    // No leader has called since this agent started.
    no_leader,
    leader_silent,
    // The leader fell silent while it held a step at the own rank.
    step_held,
};

std::string_view toString(takeover_reason);

// Each agent decides on its own. Two leaders at a time are harmless, since engines refuse the
// orders of the one with the lower fence; of two that reach each other, the one earlier in the
// list remains. A leader needs no answers to stay the leader, so that it is not replaced while its
// link is saturated for a moment.
// While a step is held, no rank may go on, so that a silent leader must be replaced much sooner. Only
// the agent of the rank that holds the step does so: it sees the hold, and a single agent needs no
// stagger. It takes over only when the calls that it misses are overdue for all whom it asks.
class leadership {
public:
    explicit leadership(leadership_settings settings = {})
        : m_settings(settings)
    {
    }

    // Records that the leader `caller` called at that time: this agent, or another one that reports it.
    void recordCall(const std::string& caller, instant at);
    // How often a leader of this group polls.
    void setCallInterval(milliseconds interval) { m_callInterval = interval; }
    // Records whether the own engine holds a step. Returns how long it was held when that ends.
    std::optional<duration> recordHold(bool held, instant now);
    // For how long the own engine has held a step, as far as this agent has seen; 0 if it holds none.
    duration heldFor(instant now) const { return m_heldSince ? now - *m_heldSince : duration(0); }
    // True if the leader's calls may have been lost: then other agents are to be queried for its
    // last call. Of 129 agents there are always some that miss four calls in a row.
    bool leaderOverdue(instant now) const;
    // When the leader last called, as far as this agent knows; `now` if this agent is the leader.
    std::optional<instant> lastCall(instant now) const;
    // Decides whether the agent `own` leads the `members`, which are in a fixed order.
    bool leads(const std::string& own, const std::vector<std::string>& members, instant now);
    // The leader as far as this agent knows; empty if none has called.
    const std::string& leader() const { return m_leader; }
    // Why this agent last took over.
    takeover_reason reason() const { return m_reason; }
    // For how long no leader had called then.
    duration silentBefore() const { return m_silentBefore; }

private:
    milliseconds takeoverTimeout(std::size_t position) const;
    milliseconds holdTimeout() const;
    // True if a leader holds a step at the own rank.
    bool holds(instant now) const;
    std::optional<takeover_reason> reasonToLead(std::size_t position, instant now) const;

    leadership_settings m_settings;
    std::string m_leader;
    bool m_leading = false;
    // When the leader last called; before the first call, when this agent first knew its group.
    std::optional<instant> m_waitingSince;
    bool m_everCalled = false;
    takeover_reason m_reason = takeover_reason::no_leader;
    duration m_silentBefore { 0 };
    milliseconds m_callInterval { 0 };
    // First and last observation of the step that the own engine holds.
    std::optional<instant> m_heldSince;
    instant m_heldAt {};
};

} // namespace rampgap
