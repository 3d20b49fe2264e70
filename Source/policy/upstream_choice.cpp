#include "policy/upstream_choice.h"

#include "policy/pass_model.h"
#include <algorithm>
#include <cmath>
#include <map>

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

    // What the ranks of a group have at once, in the mean.
    struct group_load {
        int requests = 0;
        int ranks = 0;
        int capacity = 0;
        group_slowdown slowdown;
    };

    // Load pattern: one rank of a group turns five times slower, or demand shifts in one of
    // three: all passes of that group are too long, whichever rank a request is at, while the
    // other groups have room. Not rank by rank: entry VMs with the same old counts would meet at
    // the few that show room (149 of them before 129 ranks: 0.024 wait too long, 0.020 without).
    bool runsInTime(const upstream_question& question, const group_load& load)
    {
        const milliseconds gap = passTimeLimit(question.longestGap);
        const int limit = std::min(load.capacity, sequencesToRun(*question.costs, load.slowdown, gap));
        const bool hasRoom = load.requests < limit * load.ranks;
        return hasRoom && passTime(*question.costs, limit, load.slowdown) <= static_cast<double>(gap.count());
    }

} // namespace

namespace {

    // The places of a server that requests can fill, within the limit that it has named.
    int fillablePlaces(const listed_backend& listed, const server_backpressure& backpressure, const pool_question& question)
    {
        const auto perSecond = backpressure.limits.limitOf(backendHash(listed.id), question.now);
        if (!perSecond)
            return listed.capacity;
        const double filled = *perSecond * std::chrono::duration<double>(question.usualRun).count();
        return static_cast<int>(std::clamp(std::ceil(filled), 1.0, static_cast<double>(std::max(1, listed.capacity))));
    }

} // namespace

pool_load poolLoad(const pool_question& question, const backend_directory& backends, const load_board& loads, const group_directory& groups, const server_backpressure& backpressure)
{
    pool_load sum;
    for (const auto& id : runningPool(question.service, backends, groups, question.now)) {
        if (!backpressure.backoffs.maySend(backendHash(id), question.now))
            continue;
        const int capacity = fillablePlaces(*backends.find(id), backpressure, question);
        sum.capacity += capacity;
        const bool bounded = question.costs && question.longestGap > milliseconds(0);
        sum.toRun += bounded ? std::min(capacity, sequencesToRun(*question.costs, groups.slowdownAt(question.service, backendHash(id), question.now), question.longestGap)) : capacity;
        sum.requests += loads.total(id, question.now).requests;
    }
    return sum;
}

std::vector<upstream_choice::candidate> upstream_choice::candidates(const upstream_question& question, const backend_directory& backends, const load_board& loads, const group_directory& groups, const server_backpressure& backpressure)
{
    std::vector<candidate> found;
    std::map<std::string, group_load> byGroup;
    for (auto& id : runningPool(question.service, backends, groups, question.now)) {
        if (std::find(question.tried.begin(), question.tried.end(), id) != question.tried.end())
            continue;
        const std::uint32_t hash = backendHash(id);
        if (!backpressure.maySend(hash, question.priority, question.now))
            continue;
        const auto* listed = backends.find(id);
        const backend_load load = loads.total(id, question.now);
        candidate each;
        each.granted = backpressure.limits.limitOf(hash, question.now).has_value();
        each.delay = expectedDelay(load, listed->capacity, question.costs, question.promptTokens);
        each.delay += failedTryMs * backends.health(id).failureShare;
        each.inOwnZone = listed->zone == question.ownZone;
        // The one VM that has a grant may well be in another zone.
        if (!each.inOwnZone && !each.granted)
            each.delay += otherZoneMs;
        each.avoided = backends.avoided(id, question.now);
        each.group = groups.groupOf(question.service, hash);
        auto& group = byGroup[each.group];
        if (group.ranks++ == 0)
            group.slowdown = groups.slowdownAt(question.service, hash, question.now);
        group.requests += load.requests;
        group.capacity = listed->capacity;
        each.id = std::move(id);
        found.push_back(std::move(each));
    }
    const bool anyGap = !question.costs || question.longestGap <= milliseconds(0);
    if (anyGap || byGroup.size() < 2)
        return found;
    std::map<std::string, bool> inTime;
    for (const auto& [name, load] : byGroup)
        inTime[name] = runsInTime(question, load);
    for (auto& each : found)
        each.timely = inTime[each.group];
    return found;
}

void upstream_choice::prefer(std::vector<candidate>& all, const upstream_question& question, const group_directory& groups)
{
    const auto keepIfAny = [&all](const auto& good) {
        if (std::any_of(all.begin(), all.end(), good))
            std::erase_if(all, [&good](const candidate& each) { return !good(each); });
    };
    keepIfAny([&](const candidate& each) {
        return each.group.empty() || std::none_of(question.silent.begin(), question.silent.end(), [&](const std::string& id) { return groups.groupOf(question.service, backendHash(id)) == each.group; });
    });
    // Where all look bad the view is in doubt: then all of them count.
    keepIfAny([](const candidate& each) { return !each.avoided; });
    keepIfAny([](const candidate& each) { return each.timely; });
}

// Entry VMs see the same counts, and until the next ones all would choose the same server:
// each compares a few at random, and all only if those are full.
const upstream_choice::candidate& upstream_choice::bestOfFew(const std::vector<candidate>& all, std::mt19937_64& random)
{
    const auto byDelay = [](const candidate& a, const candidate& b) { return a.delay < b.delay; };
    std::vector<double> weights;
    weights.reserve(all.size());
    for (const auto& each : all)
        weights.push_back(each.inOwnZone ? ownZoneWeight : 1);
    std::discrete_distribution<std::size_t> draw(weights.begin(), weights.end());
    // A grant that is not used soon is lost: what the server takes would go unused.
    const auto granted = std::find_if(all.begin(), all.end(), [](const candidate& each) { return each.granted; });
    const candidate* best = granted != all.end() ? &*granted : &all[draw(random)];
    for (int i = 1; i < comparedServers; ++i)
        best = &std::min(*best, all[draw(random)], byDelay);
    if (best->delay < overCapacityMs)
        return *best;
    return *std::min_element(all.begin(), all.end(), byDelay);
}

std::string upstream_choice::choose(const upstream_question& question, const backend_directory& backends, const load_board& loads, const group_directory& groups, const server_backpressure& backpressure, std::mt19937_64& random) const
{
    std::vector<candidate> all = candidates(question, backends, loads, groups, backpressure);
    if (all.empty())
        return {};
    prefer(all, question, groups);
    return bestOfFew(all, random).id;
}

} // namespace rampgap
