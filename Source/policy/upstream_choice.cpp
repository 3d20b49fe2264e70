#include "policy/upstream_choice.h"

#include <algorithm>

namespace rampgap {

namespace {

    // A request in a plain service's queue costs about this (measured mean of its work).
    constexpr double plainRequestMs = 60;
    // A server beyond its capacity makes new requests wait for an earlier one's end.
    constexpr double overCapacityMs = 400;
    // Added for a server in another zone: a round trip between zones, and its bytes' price.
    constexpr double otherZoneMs = 3;
    // What a failed try costs: its time and a unit of the retry budget.
    constexpr double failedTryMs = 600;
    // Servers within this of the best are taken as equal, so that entry VMs with the same
    // picture do not all choose the same one.
    constexpr double equalMs = 2;

} // namespace

double expectedDelay(const backend_load& load, int capacity, const std::optional<engine_costs>& costs, std::int64_t promptTokens)
{
    const double over = std::max(0, load.requests + 1 - capacity);
    if (!costs)
        return plainRequestMs * static_cast<double>(load.requests) / std::max(1, capacity) + overCapacityMs * over;
    const double reading = static_cast<double>(load.unreadTokens + promptTokens) / costs->prefillTokensPerMs;
    const double writing = (costs->stepMs + costs->perSequenceMs * load.requests) * costs->stepsPerPass;
    return reading + writing + overCapacityMs * over;
}

std::string upstream_choice::choose(const upstream_question& question, const backend_directory& backends, const load_board& loads, std::mt19937_64& random) const
{
    struct candidate {
        std::string id;
        double delay;
        bool avoided;
    };
    std::vector<candidate> candidates;
    for (auto& id : backends.pool(question.service)) {
        if (std::find(question.tried.begin(), question.tried.end(), id) != question.tried.end())
            continue;
        const auto* listed = backends.find(id);
        double delay = expectedDelay(loads.total(id, question.now), listed->capacity, question.costs, question.promptTokens);
        delay += failedTryMs * backends.health(id).failureShare;
        if (listed->zone != question.ownZone)
            delay += otherZoneMs;
        candidates.push_back({ std::move(id), delay, backends.avoided(id, question.now) });
    }
    if (candidates.empty())
        return {};
    // Where all look bad the view is in doubt: then all of them count.
    const bool anyGood = std::any_of(candidates.begin(), candidates.end(), [](const candidate& c) { return !c.avoided; });
    if (anyGood)
        std::erase_if(candidates, [](const candidate& c) { return c.avoided; });
    const auto best = std::min_element(candidates.begin(), candidates.end(), [](const candidate& a, const candidate& b) { return a.delay < b.delay; });
    const double limit = best->delay + equalMs;
    std::erase_if(candidates, [limit](const candidate& c) { return c.delay > limit; });
    return candidates[std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random)].id;
}

} // namespace rampgap
