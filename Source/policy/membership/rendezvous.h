// Rendezvous hashing: every process that knows the same members picks the same one.
#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace rampgap {

// Place of a member in the order for one key. Lower is earlier.
struct rendezvous_place {
    std::uint64_t inverseHash = 0;
    std::string_view member;

    auto operator<=>(const rendezvous_place&) const = default;
};

// Computes places for one key, without copying the members.
class rendezvous_order {
public:
    explicit rendezvous_order(std::string_view key);

    rendezvous_place placeOf(std::string_view member) const;

private:
    std::uint64_t m_seed;
};

// The member with the highest hash for `key`; empty if there are no members.
std::string_view rendezvousPick(std::string_view key, const std::vector<std::string>& members);

// Up to `count` members, ordered by their hash for `key`, highest first; the first is the one that
// rendezvousPick returns.
std::vector<std::string> rendezvousRank(std::string_view key, const std::vector<std::string>& members, std::size_t count);

} // namespace rampgap
