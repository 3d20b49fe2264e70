// Counts of chosen experts as bytes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rampgap {

// A byte for each count, in units in which the highest is 255: shares need no more, and the
// counts of all ranks together are no longer than those of one.
std::string packChoices(const std::vector<std::uint64_t>&);
// Nothing if the bytes are not packed choices.
std::optional<std::vector<std::uint64_t>> unpackChoices(std::string_view);

// Adds counts, expert by expert; either may be empty for none.
void addChoices(std::vector<std::uint64_t>& sum, const std::vector<std::uint64_t>& more);

} // namespace rampgap
