// Distributes a call from one process to the ranks of a large group: agents forward it along a
// tree, so that no machine's link carries more than a few messages.
#pragma once

#include "policy/common/verdict.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rampgap {

// How far a leader relies on the agent of an engine.
enum class agent_reachability {
    // Answers calls and forwards them to other ranks.
    forwards,
    // Did not answer until recently: it is called, but forwards nothing.
    answers_only,
    // Does not answer: its engine is called directly.
    unreachable,
};

// One rank that a call is for.
struct call_target {
    // Number of the rank in the caller's call.
    std::uint32_t index = 0;
    std::string backendId;
    // "host:port" of its engine.
    std::string address;
    // Placement number of the order where it differs from rank to rank; otherwise 0.
    std::uint64_t placement = 0;
    agent_reachability reachability = agent_reachability::forwards;

    bool operator==(const call_target&) const = default;
};

// Most messages that one process sends for a call. An answer with the counts of 16 x 258 experts
// has 4.1 KB: six of them take 33 ms on a link of 6 Mbit/s.
inline constexpr std::size_t callFanout = 6;

// Splits a call into at most `fanout` parts, in the given order. The first target of a part
// receives the part and forwards the rest of it; its agent is one that forwards calls, where there
// are enough of them.
std::vector<std::vector<call_target>> splitCall(const std::vector<call_target>&, std::size_t fanout = callFanout);

// Number of levels of the forwarding tree for this many targets: how many messages are sent one after
// the other until the last target is reached.
std::size_t callDepth(std::size_t targets, std::size_t fanout = callFanout);

// What determines how long and how often a group may be called.
struct call_limits {
    double linkMbps = 0;
    std::size_t targets = 0;
    // Size in bytes of the longest request or answer between two nodes.
    std::size_t largestMessage = 0;
};

// Time limit of a call: two round trips for each level, and twice the time to transfer the
// messages over the slow links of each level.
milliseconds callBudget(const call_limits&);

// How often a leader polls all ranks.
struct poll_plan {
    milliseconds pause { 0 };
    // One poll in this many also asks for the counts of chosen experts.
    int pollsPerCounts = 1;

    bool operator==(const poll_plan&) const = default;
};

// Polls use a quarter of the link, with at least `minPause` between them (small groups). Load
// pattern: entry VMs choose ranks by the polled state; where it is old, a request waits at a full
// rank while others have free slots. Counts make up most of the bytes, so where they would fill the
// link every other poll omits them. With 0.7 of the request slots in use, polling 129 ranks each 0.2 s
// instead of each 0.1 s would make 0.020 instead of 0.014 of the requests late because of such waits.
poll_plan planPolls(const call_limits&, milliseconds minPause);

} // namespace rampgap
