// Encodes how often each expert was chosen.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rampgap {

// One byte per count, scaled so that the highest fits in 255. Only the experts' relative shares
// matter, so this is precise enough, and the sum over all ranks takes no more bytes than the
// counts of one.
std::string packExpertCounts(const std::vector<std::uint64_t>&);
// Empty if the bytes are not packed counts.
std::optional<std::vector<std::uint64_t>> unpackExpertCounts(std::string_view);

// Adds `more` to `sum` expert by expert; an empty vector stands for zeros.
void addExpertCounts(std::vector<std::uint64_t>& sum, const std::vector<std::uint64_t>& more);

} // namespace rampgap
