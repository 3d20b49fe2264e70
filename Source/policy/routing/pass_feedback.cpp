#include "policy/routing/pass_feedback.h"

#include <algorithm>

namespace rampgap {

namespace {

    constexpr milliseconds updatePeriod { 50 };
    // Of the fixed part of a pass. Two events closer than that come from one pass, or one was delayed on its way.
    constexpr double minGapPart = 0.5;

    struct group_count {
        double running = 0;
        int ranks = 0;
        std::uint32_t anyRank = 0;
    };

} // namespace

void pass_feedback::recordGap(const std::string& service, const engine_costs& costs, std::uint32_t backendHash, duration gap, const group_directory& groups, instant now)
{
    const group_key key = groups.groupKeyOf(service, backendHash);
    if (key.group.empty() || std::chrono::duration<double, std::milli>(gap).count() < costs.stepMs * costs.stepsPerPass * minGapPart)
        return;
    m_estimates[key].recordGap(gap, now);
}

bool pass_feedback::update(const std::string& service, const engine_costs& costs, const backend_directory& backends, const load_table& loads, group_directory& groups, instant now)
{
    service_state& state = m_services[service];
    if (state.updatedAt && now - *state.updatedAt < updatePeriod)
        return false;
    state.updatedAt = now;
    state.measures.clear();
    std::map<group_key, group_count> counts;
    for (const auto& id : backends.pool(service)) {
        const group_key key = groups.groupKeyOf(service, backendHash(id));
        if (key.group.empty())
            continue;
        group_count& count = counts[key];
        // The measured passes are as old as the counts; own requests sent since, taken into account, would make the load
        // that rises seem cheap. Requests in a rank's queue do not lengthen its passes.
        count.running += std::clamp(loads.total(id, now).requests - loads.sentRecently(id, now), 0, std::max(1, costs.capacity));
        ++count.ranks;
        count.anyRank = backendHash(id);
    }
    // A group formed again under another name leaves its estimate behind.
    std::erase_if(m_estimates, [&](const auto& each) { return each.first.service == service && !counts.contains(each.first); });
    for (const auto& [key, count] : counts) {
        pass_estimate& estimate = m_estimates[key];
        estimate.update(count.running / count.ranks, groups.publishedPass(key, now), now);
        const auto measured = estimate.value(now);
        if (!measured)
            continue;
        const group_slowdown published = groups.slowdownAt(service, count.anyRank, now);
        if (const auto factor = tokenFactor(costs, published, *measured))
            groups.recordTokenFactor(key, *factor, now);
        const group_slowdown slowdown = groups.slowdownAt(service, count.anyRank, now);
        const double predicted = passTime(costs, measured->sequences, { slowdown.expertSkew, slowdown.slowestPace });
        state.measures.push_back({ key, *measured, predicted, slowdown, groups.stateAge(service, count.anyRank, now).value_or(milliseconds(0)) });
    }
    return true;
}

std::vector<pass_measure> pass_feedback::measures(const std::string& service) const
{
    const auto found = m_services.find(service);
    return found == m_services.end() ? std::vector<pass_measure>() : found->second.measures;
}

} // namespace rampgap
