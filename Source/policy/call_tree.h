// How a call from one process reaches the ranks of a large group: from agent to agent, so that
// no machine's link carries more than a few messages.
#pragma once

#include "policy/verdict.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rampgap {

// How far the agent beside an engine can be relied on.
enum class agent_trust {
    good,
    // Silent until lately: it is called, but passes nothing on.
    doubtful,
    // Does not answer: its engine is called directly.
    silent,
};

// One rank that a call is for.
struct call_target {
    // The caller's number for it.
    std::uint32_t index = 0;
    std::string backendId;
    // "host:port" of its engine.
    std::string address;
    // Placement of the order where it differs from rank to rank; otherwise 0.
    std::uint64_t placement = 0;
    agent_trust trust = agent_trust::good;

    bool operator==(const call_target&) const = default;
};

// Messages that one process sends for a call. Answers with counts of 16 x 258 experts have
// 4.1 KB: six of them take 33 ms of a link of 6 Mbit/s.
inline constexpr std::size_t callFanout = 6;

// Splits a call into at most `fanout` parts, in the given order. The first target of a part
// receives the part and passes the rest of it on; it is a good one where there are enough.
std::vector<std::vector<call_target>> splitCall(const std::vector<call_target>&, std::size_t fanout = callFanout);

// Messages one after the other from the caller to the last of so many targets.
std::size_t callDepth(std::size_t targets, std::size_t fanout = callFanout);

// What one node's link and time allow for calls to a group.
struct call_limits {
    double linkMbps = 0;
    std::size_t targets = 0;
    // Longest message from node to node, of a request or an answer.
    std::size_t largestMessage = 0;
};

// How long a call may take: two round trips a level, and the bytes on the way through the
// narrow links of each level, twice.
milliseconds callBudget(const call_limits&);

// Pause from one look at all ranks to the next, so that the answers take a quarter of the
// link; `leastPause` for small groups.
milliseconds lookPause(const call_limits&, milliseconds leastPause);

} // namespace rampgap
