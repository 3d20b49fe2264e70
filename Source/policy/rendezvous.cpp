#include "policy/rendezvous.h"

#include "policy/digest.h"
#include <algorithm>

namespace rampgap {

std::string_view rendezvousPick(std::string_view key, const std::vector<std::string>& members)
{
    const std::uint64_t seed = hash64(key);
    std::string_view best;
    std::uint64_t bestHash = 0;
    for (const auto& member : members) {
        const std::uint64_t hash = hash64(member, seed);
        // Ties fall to the smaller name, so that the order of members does not matter.
        const bool wins = best.empty() || hash > bestHash || (hash == bestHash && member < best);
        if (wins) {
            best = member;
            bestHash = hash;
        }
    }
    return best;
}

std::vector<std::string> rendezvousRank(std::string_view key, const std::vector<std::string>& members, std::size_t count)
{
    const std::uint64_t seed = hash64(key);
    std::vector<std::pair<std::uint64_t, std::string>> ranked;
    ranked.reserve(members.size());
    for (const auto& member : members)
        ranked.emplace_back(hash64(member, seed), member);
    std::sort(ranked.begin(), ranked.end(), [](const auto& a, const auto& b) {
        return a.first != b.first ? a.first > b.first : a.second < b.second;
    });
    if (ranked.size() > count)
        ranked.resize(count);
    std::vector<std::string> names;
    names.reserve(ranked.size());
    for (auto& entry : ranked)
        names.push_back(std::move(entry.second));
    return names;
}

} // namespace rampgap
