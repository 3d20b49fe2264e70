// Whether this agent leads its group: the one that calls the others.
#pragma once

#include "policy/verdict.h"

#include <optional>
#include <string>
#include <vector>

namespace rampgap {

struct leadership_settings {
    // A leader that has not called for so long is gone.
    milliseconds patience { 900 };
    // Of an agent that has just started: a leader at work will have called by then.
    milliseconds firstPatience { 350 };
    // How much later than the one before it each agent of the list takes over, up to a bound:
    // long enough for the calls of the one before it to arrive.
    milliseconds stagger { 120 };
    std::size_t mostStaggers = 12;

    bool operator==(const leadership_settings&) const = default;
};

// Each agent decides by itself. Two leaders at a time are harmless, since engines refuse the
// orders of the one with the lower fence; of two that reach each other the one earlier in the
// list goes on. No answer of the others is needed to stay the leader, so that one whose link
// is full for a moment is not left.
class leadership {
public:
    explicit leadership(leadership_settings settings = {})
        : m_settings(settings)
    {
    }

    // The leader `caller` called this agent, or another one that says so, at that time.
    void noteCalled(const std::string& caller, instant at);
    // True if the leader's calls may have been lost: others are to be asked whether it has
    // called them. Among 129 agents some miss any four calls in a row.
    bool inDoubt(instant now) const;
    // When the leader last called, as far as this agent knows; this agent itself leads now.
    std::optional<instant> lastCall(instant now) const;
    // Whether the agent `own` leads the `members`, which are in a fixed order.
    bool leads(const std::string& own, const std::vector<std::string>& members, instant now);
    // Who leads as far as this agent knows; empty if nobody has called.
    const std::string& leader() const { return m_leader; }

private:
    milliseconds patienceOf(std::size_t position) const;

    leadership_settings m_settings;
    std::string m_leader;
    bool m_leading = false;
    // When the leader called; before that, when this agent first heard of its group.
    std::optional<instant> m_quietSince;
    bool m_everCalled = false;
};

} // namespace rampgap
