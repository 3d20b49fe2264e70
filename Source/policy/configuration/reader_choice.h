// Which processes of a zone read the configuration service.
#pragma once

#include <set>
#include <string>
#include <vector>

namespace rampgap {

inline constexpr std::size_t readersPerZone = 2;
// Number of readers and standby readers; each of them monitors those before it in the order.
inline constexpr std::size_t readersAndStandbys = 6;

// Key of the order in which processes become readers.
inline constexpr const char* readerOrderKey = "configuration-reader";

// The entry VMs of the zone in the order in which they become readers; all processes that
// see the same list agree on it.
std::vector<std::string> readerOrder(const std::vector<std::string>& entries);

// True if `self` is among the first readers, leaving out those that `self` cannot reach.
bool isChosenReader(const std::string& self, const std::vector<std::string>& order, const std::set<std::string>& unreachable);

// The processes that `self` monitors: all before it in the order, if it is one of them.
std::vector<std::string> monitoredBy(const std::string& self, const std::vector<std::string>& order);

} // namespace rampgap
