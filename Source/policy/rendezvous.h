// Rendezvous hashing: every process that knows the same members picks the same one.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace rampgap {

// The member with the highest hash for `key`; empty if there are no members.
std::string_view rendezvousPick(std::string_view key, const std::vector<std::string>& members);

// Up to `count` members, ordered by their hash for `key`, highest first; the first is the one that
// rendezvousPick returns.
std::vector<std::string> rendezvousRank(std::string_view key, const std::vector<std::string>& members, std::size_t count);

} // namespace rampgap
