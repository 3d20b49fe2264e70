#include "policy/configuration/reader_choice.h"

#include "policy/membership/rendezvous.h"
#include <algorithm>

namespace rampgap {

std::vector<std::string> readerOrder(const std::vector<std::string>& entries)
{
    return rendezvousRank(readerOrderKey, entries, readersAndStandbys);
}

bool isChosenReader(const std::string& self, const std::vector<std::string>& order, const std::set<std::string>& unreachable)
{
    std::size_t before = 0;
    for (const auto& name : order) {
        if (name == self)
            return before < readersPerZone;
        before += unreachable.contains(name) ? 0 : 1;
    }
    return false;
}

std::vector<std::string> monitoredBy(const std::string& self, const std::vector<std::string>& order)
{
    const auto own = std::find(order.begin(), order.end(), self);
    if (own == order.end())
        return {};
    return { order.begin(), own };
}

} // namespace rampgap
