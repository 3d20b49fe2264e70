#include "policy/groups/call_tree.h"

#include <algorithm>

namespace rampgap {

namespace {

    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMsAtOneMbps = 1'000;
    // Time for one level of the tree: two round trips between zones, and a process that has used
    // up its share of a core and is paused for the rest of a tenth of a second.
    constexpr milliseconds levelTime { 100 };
    constexpr double transferMargin = 2;
    // Share of the link for polls; the rest is for placements, the list of servers and membership.
    constexpr double pollShareOfLink = 0.25;
    // One rank in a poll, and its state in the answer.
    constexpr std::size_t rankBytes = 78;
    // HTTP and TCP overhead of a call and its answer.
    constexpr std::size_t overheadBytes = 600;
    // A shift of demand must be visible within 0.3 s.
    constexpr int maxPollsPerCounts = 2;

    double transferMs(std::size_t bytes, double linkMbps)
    {
        return static_cast<double>(bytes) * bitsPerByte / (std::max(1.0, linkMbps) * bitsPerMsAtOneMbps);
    }

    std::size_t messagesAtCaller(const call_limits& limits)
    {
        return std::min(limits.targets, callFanout);
    }

} // namespace

std::vector<std::vector<call_target>> splitCall(const std::vector<call_target>& targets, std::size_t fanout)
{
    std::vector<call_target> forwarding;
    std::vector<call_target> others;
    for (const auto& target : targets)
        (target.reachability == agent_reachability::forwards ? forwarding : others).push_back(target);
    std::vector<std::vector<call_target>> parts(std::min(fanout, targets.size()));
    for (std::size_t i = 0; i < forwarding.size(); ++i)
        parts[i * std::min(parts.size(), forwarding.size()) / forwarding.size()].push_back(forwarding[i]);
    // Targets whose agents forward nothing are spread evenly over the parts: each makes its part slower.
    for (std::size_t i = 0; i < others.size(); ++i)
        parts[parts.size() - 1 - i % parts.size()].push_back(others[i]);
    return parts;
}

std::size_t callDepth(std::size_t targets, std::size_t fanout)
{
    std::size_t depth = 0;
    while (targets > 0) {
        ++depth;
        const std::size_t largestPart = (targets + fanout - 1) / fanout;
        targets = largestPart - 1;
    }
    return depth;
}

milliseconds callBudget(const call_limits& limits)
{
    const auto depth = static_cast<double>(callDepth(limits.targets));
    const double transfer = transferMs(limits.largestMessage * messagesAtCaller(limits), limits.linkMbps);
    return milliseconds(static_cast<std::int64_t>(depth * (static_cast<double>(levelTime.count()) + transferMargin * transfer)));
}

poll_plan planPolls(const call_limits& limits, milliseconds minPause)
{
    const std::size_t states = limits.targets * rankBytes + messagesAtCaller(limits) * overheadBytes;
    const std::size_t counts = messagesAtCaller(limits) * limits.largestMessage;
    poll_plan plan;
    for (plan.pollsPerCounts = 1;; ++plan.pollsPerCounts) {
        const auto polls = static_cast<std::size_t>(plan.pollsPerCounts);
        const double pause = transferMs(states + counts / polls, limits.linkMbps) / pollShareOfLink;
        plan.pause = std::max(minPause, milliseconds(static_cast<std::int64_t>(pause)));
        if (plan.pause == minPause || plan.pollsPerCounts == maxPollsPerCounts)
            return plan;
    }
}

} // namespace rampgap
