#include "policy/upstream_choice.h"

#include "policy/pass_model.h"
#include <algorithm>

namespace rampgap {

namespace {

    // A request in a plain service's queue costs about this (measured mean of its work).
    constexpr double plainRequestMs = 60;
    // A server beyond its capacity makes new requests wait for an earlier one's end.
    constexpr double overCapacityMs = 400;
    // For each unit of pace over the usual.
    constexpr double slowRankMs = 2'000;
    // Added for a server in another zone: its answer's bytes cross zones, which is dearer than
    // a little more load at home. Against 3 ms: 0.0085 GB between zones a day in place of 0.0122.
    constexpr double otherZoneMs = 20;
    // What a failed try costs: its time and a unit of the retry budget.
    constexpr double failedTryMs = 600;
    // Servers that one choice compares. Of 40 entry VMs with counts 0.2 s old, all choosing
    // the least loaded of 63 made queues of 16 there. Modelled for 149 entry VMs before 129 ranks with
    // 0.7 of their places taken, 0.020 of the requests wait too long at a full rank with four, 0.032
    // with six.
    constexpr int comparedServers = 4;
    // How much more often a server of the own zone is among them than another: with five zones
    // mostly one or two of four are.
    constexpr double ownZoneWeight = 2;

} // namespace

double expectedDelay(const backend_load& load, int capacity, const std::optional<engine_costs>& costs, std::int64_t promptTokens)
{
    const double over = std::max(0, load.requests + 1 - capacity);
    if (!costs)
        return plainRequestMs * static_cast<double>(load.requests) / std::max(1, capacity) + overCapacityMs * over;
    const double reading = static_cast<double>(load.unreadTokens + promptTokens) / costs->prefillTokensPerMs;
    const double writing = (costs->stepMs + costs->perSequenceMs * load.requests) * costs->stepsPerPass;
    // In lock-step a slow rank's own part holds all others back: it gets work last.
    return (reading + writing) * load.pace + overCapacityMs * over + slowRankMs * (load.pace - 1);
}

namespace {

    // The servers that can be reached and run requests, as far as is known; all where none can.
    std::vector<std::string> runningPool(const std::string& service, const backend_directory& backends, const group_board& groups, instant now)
    {
        std::vector<std::string> pool = backends.pool(service);
        if (!groups.closed(service, now))
            std::erase_if(pool, [&](const std::string& id) { return groups.closedAt(service, backendHash(id), now); });
        std::vector<std::string> reachable = pool;
        std::erase_if(reachable, [&](const std::string& id) { return groups.outOfReach(service, backendHash(id), now); });
        return reachable.empty() ? pool : reachable;
    }

} // namespace

pool_load poolLoad(const std::string& service, const backend_directory& backends, const load_board& loads, const group_board& groups, const std::optional<engine_costs>& costs, milliseconds longestGap, instant now)
{
    pool_load sum;
    for (const auto& id : runningPool(service, backends, groups, now)) {
        const int capacity = backends.find(id)->capacity;
        sum.capacity += capacity;
        const bool limited = costs && longestGap > milliseconds(0);
        sum.toRun += limited ? std::min(capacity, sequencesToRun(*costs, groups.strainAt(service, backendHash(id), now), longestGap)) : capacity;
        sum.requests += loads.total(id, now).requests;
    }
    return sum;
}

std::string upstream_choice::choose(const upstream_question& question, const backend_directory& backends, const load_board& loads, const group_board& groups, std::mt19937_64& random) const
{
    struct candidate {
        std::string id;
        double delay;
        bool avoided;
        bool inOwnZone;
    };
    std::vector<candidate> candidates;
    for (auto& id : runningPool(question.service, backends, groups, question.now)) {
        if (std::find(question.tried.begin(), question.tried.end(), id) != question.tried.end())
            continue;
        const auto* listed = backends.find(id);
        double delay = expectedDelay(loads.total(id, question.now), listed->capacity, question.costs, question.promptTokens);
        delay += failedTryMs * backends.health(id).failureShare;
        const bool inOwnZone = listed->zone == question.ownZone;
        if (!inOwnZone)
            delay += otherZoneMs;
        const bool avoided = backends.avoided(id, question.now);
        candidates.push_back({ std::move(id), delay, avoided, inOwnZone });
    }
    if (candidates.empty())
        return {};
    const auto inSilentGroup = [&](const candidate& c) {
        return std::any_of(question.silent.begin(), question.silent.end(), [&](const std::string& id) { return groups.sameGroup(question.service, backendHash(id), backendHash(c.id)); });
    };
    if (!std::all_of(candidates.begin(), candidates.end(), inSilentGroup))
        std::erase_if(candidates, inSilentGroup);
    // Where all look bad the view is in doubt: then all of them count.
    const bool anyGood = std::any_of(candidates.begin(), candidates.end(), [](const candidate& c) { return !c.avoided; });
    if (anyGood)
        std::erase_if(candidates, [](const candidate& c) { return c.avoided; });
    // Entry VMs see the same counts, and until the next ones all would choose the same
    // server: each compares a few at random, and all only if those are full.
    const auto byDelay = [](const candidate& a, const candidate& b) { return a.delay < b.delay; };
    std::vector<double> weights;
    weights.reserve(candidates.size());
    for (const auto& each : candidates)
        weights.push_back(each.inOwnZone ? ownZoneWeight : 1);
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    const candidate* best = &candidates[draw(random)];
    for (int i = 1; i < comparedServers; ++i)
        best = &std::min(*best, candidates[draw(random)], byDelay);
    if (best->delay < overCapacityMs)
        return best->id;
    return std::min_element(candidates.begin(), candidates.end(), byDelay)->id;
}

} // namespace rampgap
