#include "policy/call_tree.h"

#include <algorithm>

namespace rampgap {

namespace {

    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMsAtOneMbps = 1'000;
    // Two round trips between zones, and a process whose core's share is spent for the rest of a
    // tenth of a second.
    constexpr milliseconds levelTime { 100 };
    constexpr double transferMargin = 2;
    // The rest of the link is for placements, the list of servers and membership.
    constexpr double lookShare = 0.25;
    // A rank in a call and its state in the answer.
    constexpr std::size_t rankBytes = 96;

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
    std::vector<call_target> good;
    std::vector<call_target> others;
    for (const auto& target : targets)
        (target.trust == agent_trust::good ? good : others).push_back(target);
    std::vector<std::vector<call_target>> parts(std::min(fanout, targets.size()));
    for (std::size_t i = 0; i < good.size(); ++i)
        parts[i * std::min(parts.size(), good.size()) / good.size()].push_back(good[i]);
    // Those that pass nothing on are dealt out: each part has its share of slow ones.
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

milliseconds lookPause(const call_limits& limits, milliseconds leastPause)
{
    const std::size_t bytes = limits.targets * rankBytes + messagesAtCaller(limits) * limits.largestMessage;
    const double pause = transferMs(bytes, limits.linkMbps) / lookShare;
    return std::max(leastPause, milliseconds(static_cast<std::int64_t>(pause)));
}

} // namespace rampgap
