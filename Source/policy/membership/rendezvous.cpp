#include "policy/membership/rendezvous.h"

#include "policy/common/digest.h"
#include <algorithm>
#include <optional>

namespace rampgap {

rendezvous_order::rendezvous_order(std::string_view key)
    : m_seed(hash64(key))
{
}

// The highest hash comes first. Ties fall to the smaller name, so that the order of members does not matter.
rendezvous_place rendezvous_order::placeOf(std::string_view member) const
{
    return { ~hash64(member, m_seed), member };
}

std::string_view rendezvousPick(std::string_view key, const std::vector<std::string>& members)
{
    const rendezvous_order order(key);
    std::optional<rendezvous_place> first;
    for (const auto& member : members) {
        const rendezvous_place place = order.placeOf(member);
        if (!first || place < *first)
            first = place;
    }
    return first ? first->member : std::string_view();
}

std::vector<std::string> rendezvousRank(std::string_view key, const std::vector<std::string>& members, std::size_t count)
{
    const rendezvous_order order(key);
    std::vector<rendezvous_place> ranked;
    ranked.reserve(members.size());
    for (const auto& member : members)
        ranked.push_back(order.placeOf(member));
    const auto wanted = ranked.begin() + static_cast<std::ptrdiff_t>(std::min(count, ranked.size()));
    std::partial_sort(ranked.begin(), wanted, ranked.end());
    std::vector<std::string> names;
    for (auto place = ranked.begin(); place != wanted; ++place)
        names.emplace_back(place->member);
    return names;
}

} // namespace rampgap
