#include "policy/routing/upstream_choice.h"

#include "policy/groups/pass_model.h"
#include <algorithm>
#include <cmath>
#include <map>

namespace rampgap {

namespace {

    // Mean time that a request in a plain service's queue takes.
    constexpr double plainRequestMs = 60;
    // At a server beyond its capacity a new request waits for the end of an earlier one.
    constexpr double overCapacityMs = 400;
    // Added for each unit of pace above 1.
    constexpr double slowRankMs = 2'000;
    // Added for a server in another zone: traffic between zones is more expensive than slightly more
    // load in the own zone. 3 ms would cause 0.0122 GB a day between zones instead of 0.0085.
    constexpr double otherZoneMs = 20;
    // Cost of a failed attempt: its time and a unit of the retry budget.
    constexpr double failedAttemptMs = 600;
    // Number of servers that one choice compares. If 40 entry VMs with counts 0.2 s old all chose the
    // least loaded of 63, queues of 16 would form there. With 149 entry VMs at 129 ranks and 0.7 of
    // the request slots in use, 0.020 of the requests wait too long at a full rank; with six instead of
    // four it would be 0.032.
    constexpr int comparedServers = 4;
    // How much more often a server of the own zone is among them than another one. With five zones
    // mostly one or two of the four are of the own zone.
    constexpr double ownZoneWeight = 2;

} // namespace

double expectedDelay(const backend_load& load, int capacity, const std::optional<engine_costs>& costs, std::int64_t promptTokens)
{
    const double over = std::max(0, load.requests + 1 - capacity);
    if (!costs)
        return plainRequestMs * static_cast<double>(load.requests) / std::max(1, capacity) + overCapacityMs * over;
    const double prefillMs = static_cast<double>(load.unreadTokens + promptTokens) / costs->prefillTokensPerMs;
    const double passMs = (costs->stepMs + costs->perSequenceMs * load.requests) * costs->stepsPerPass;
    // All ranks run in lock-step, so work of a slow rank delays the others: it gets work last.
    return (prefillMs + passMs) * load.pace + overCapacityMs * over + slowRankMs * (load.pace - 1);
}

namespace {

    // The servers that, as far as known, can be reached and run requests; all of them if none can.
    std::vector<std::string> runningPool(const std::string& service, const backend_directory& backends, const group_directory& groups, instant now)
    {
        std::vector<std::string> pool = backends.pool(service);
        if (!groups.closed(service, now))
            std::erase_if(pool, [&](const std::string& id) { return groups.closedAt(service, backendHash(id), now); });
        std::vector<std::string> reachable = pool;
        std::erase_if(reachable, [&](const std::string& id) { return groups.isUnreachable(service, backendHash(id), now); });
        return reachable.empty() ? pool : reachable;
    }

} // namespace

namespace {

    // Load of a group: requests at all of its ranks, and the capacity of one rank.
    struct group_load {
        int requests = 0;
        int ranks = 0;
        int capacity = 0;
        group_slowdown slowdown;
    };

    // Load pattern: one rank of a group becomes five times slower, or demand shifts in one of three
    // groups. All passes of that group are too long, whichever rank a request is at, while the other
    // groups have free slots. Not decided rank by rank: entry VMs with the same old counts would all
    // choose the few ranks that seem to have free slots, and 0.024 instead of 0.020 of the
    // requests would wait too long (149 entry VMs, 129 ranks).
    bool runsInTime(const upstream_input& input, const group_load& load)
    {
        const milliseconds gap = passTimeLimit(input.longestGap);
        // Whole sequences: a rank that gets one more than fits makes the passes of all too long.
        const int limit = std::min(load.capacity, static_cast<int>(sequencesToRun(*input.costs, load.slowdown, gap)));
        const bool hasFreeSlots = load.requests < limit * load.ranks;
        return hasFreeSlots && passTime(*input.costs, limit, load.slowdown) <= static_cast<double>(gap.count());
    }

} // namespace

namespace {

    // The request slots of a server that can be filled within the rate limit that it has announced.
    int fillableSlots(const listed_backend& listed, const server_backpressure& backpressure, const pool_load_input& input)
    {
        const auto perSecond = backpressure.limits.limitOf(backendHash(listed.id), input.now);
        if (!perSecond)
            return listed.capacity;
        const double filled = *perSecond * std::chrono::duration<double>(input.typicalRunTime).count();
        return static_cast<int>(std::clamp(std::ceil(filled), 1.0, static_cast<double>(std::max(1, listed.capacity))));
    }

} // namespace

pool_load poolLoad(const pool_load_input& input, const backend_directory& backends, const load_table& loads, const group_directory& groups, const server_backpressure& backpressure)
{
    pool_load sum;
    // Parts of sequences add up over the ranks.
    double targetRunning = 0;
    for (const auto& id : runningPool(input.service, backends, groups, input.now)) {
        if (!backpressure.backoffs.maySend(backendHash(id), input.now))
            continue;
        const int capacity = fillableSlots(*backends.find(id), backpressure, input);
        sum.capacity += capacity;
        const bool bounded = input.costs && input.longestGap > milliseconds(0);
        targetRunning += bounded ? std::min<double>(capacity, sequencesToRun(*input.costs, groups.slowdownAt(input.service, backendHash(id), input.now), input.longestGap)) : capacity;
        sum.requests += loads.total(id, input.now).requests;
        sum.sentRecently += loads.sentRecently(id, input.now);
    }
    sum.targetRunning = static_cast<int>(targetRunning);
    return sum;
}

std::vector<upstream_choice::candidate> upstream_choice::candidates(const upstream_input& input, const backend_directory& backends, const load_table& loads, const group_directory& groups, const server_backpressure& backpressure)
{
    std::vector<candidate> found;
    std::map<std::string, group_load> byGroup;
    for (auto& id : runningPool(input.service, backends, groups, input.now)) {
        if (std::find(input.tried.begin(), input.tried.end(), id) != input.tried.end())
            continue;
        const std::uint32_t hash = backendHash(id);
        if (!backpressure.maySend(hash, input.priority, input.now))
            continue;
        const auto* listed = backends.find(id);
        const backend_load load = loads.total(id, input.now);
        candidate each;
        each.granted = backpressure.limits.limitOf(hash, input.now).has_value();
        each.delay = expectedDelay(load, listed->capacity, input.costs, input.promptTokens);
        each.delay += failedAttemptMs * backends.health(id).failureShare;
        each.inOwnZone = listed->zone == input.ownZone;
        // A grant is valid for this VM and this server only, so it is used even if the server is in another zone.
        if (!each.inOwnZone && !each.granted)
            each.delay += otherZoneMs;
        each.avoided = backends.avoided(id, input.now);
        each.group = groups.groupOf(input.service, hash);
        auto& group = byGroup[each.group];
        if (group.ranks++ == 0)
            group.slowdown = groups.slowdownAt(input.service, hash, input.now);
        group.requests += load.requests;
        group.capacity = listed->capacity;
        each.id = std::move(id);
        found.push_back(std::move(each));
    }
    const bool acceptsAnyGap = !input.costs || input.longestGap <= milliseconds(0);
    if (acceptsAnyGap || byGroup.size() < 2)
        return found;
    std::map<std::string, bool> inTime;
    for (const auto& [name, load] : byGroup)
        inTime[name] = runsInTime(input, load);
    for (auto& each : found)
        each.timely = inTime[each.group];
    return found;
}

void upstream_choice::prefer(std::vector<candidate>& all, const upstream_input& input, const group_directory& groups)
{
    const auto keepIfAny = [&all](const auto& good) {
        if (std::any_of(all.begin(), all.end(), good))
            std::erase_if(all, [&good](const candidate& each) { return !good(each); });
    };
    keepIfAny([&](const candidate& each) {
        return each.group.empty() || std::none_of(input.silent.begin(), input.silent.end(), [&](const std::string& id) { return groups.groupOf(input.service, backendHash(id)) == each.group; });
    });
    // If all are avoided, this view is probably wrong: then all of them are considered.
    keepIfAny([](const candidate& each) { return !each.avoided; });
    keepIfAny([](const candidate& each) { return each.timely; });
}

// Entry VMs see the same counts, so until the next ones arrive all would choose the same server.
// Each compares a few at random instead, and all of them only if those are full.
const upstream_choice::candidate& upstream_choice::bestOfFew(const std::vector<candidate>& all, std::mt19937_64& random)
{
    const auto byDelay = [](const candidate& a, const candidate& b) { return a.delay < b.delay; };
    std::vector<double> weights;
    weights.reserve(all.size());
    for (const auto& each : all)
        weights.push_back(each.inOwnZone ? ownZoneWeight : 1);
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    // A grant that is not used soon expires, and the capacity of the server would be wasted.
    const auto granted = std::find_if(all.begin(), all.end(), [](const candidate& each) { return each.granted; });
    const candidate* best = granted != all.end() ? &*granted : &all[draw(random)];
    for (int i = 1; i < comparedServers; ++i)
        best = &std::min(*best, all[draw(random)], byDelay);
    if (best->delay < overCapacityMs)
        return *best;
    return *std::min_element(all.begin(), all.end(), byDelay);
}

std::string upstream_choice::choose(const upstream_input& input, const backend_directory& backends, const load_table& loads, const group_directory& groups, const server_backpressure& backpressure, std::mt19937_64& random) const
{
    std::vector<candidate> all = candidates(input, backends, loads, groups, backpressure);
    if (all.empty())
        return {};
    prefer(all, input, groups);
    return bestOfFew(all, random).id;
}

} // namespace rampgap
