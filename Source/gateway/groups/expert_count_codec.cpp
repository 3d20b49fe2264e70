#include "gateway/groups/expert_count_codec.h"

#include <algorithm>

namespace rampgap {

namespace {

    constexpr std::uint64_t highestUnits = 255;
    // The scale factor comes first, low byte first.
    constexpr std::size_t unitBytes = 4;
    constexpr unsigned bitsPerByte = 8;

} // namespace

std::string packExpertCounts(const std::vector<std::uint64_t>& choices)
{
    if (choices.empty())
        return {};
    const std::uint64_t unit = *std::max_element(choices.begin(), choices.end()) / highestUnits + 1;
    std::string bytes;
    bytes.reserve(unitBytes + choices.size());
    for (std::size_t i = 0; i < unitBytes; ++i)
        bytes.push_back(static_cast<char>(unit >> i * bitsPerByte & highestUnits));
    for (const std::uint64_t count : choices)
        bytes.push_back(static_cast<char>(std::min(highestUnits, (count + unit / 2) / unit)));
    return bytes;
}

std::optional<std::vector<std::uint64_t>> unpackExpertCounts(std::string_view bytes)
{
    if (bytes.empty())
        return std::vector<std::uint64_t>();
    if (bytes.size() <= unitBytes)
        return std::nullopt;
    std::uint64_t unit = 0;
    for (std::size_t i = 0; i < unitBytes; ++i)
        unit |= static_cast<std::uint64_t>(static_cast<unsigned char>(bytes[i])) << i * bitsPerByte;
    std::vector<std::uint64_t> choices;
    choices.reserve(bytes.size() - unitBytes);
    for (const char byte : bytes.substr(unitBytes))
        choices.push_back(static_cast<unsigned char>(byte) * unit);
    return choices;
}

void addExpertCounts(std::vector<std::uint64_t>& sum, const std::vector<std::uint64_t>& more)
{
    if (sum.empty()) {
        sum = more;
        return;
    }
    for (std::size_t i = 0; i < std::min(sum.size(), more.size()); ++i)
        sum[i] += more[i];
}

} // namespace rampgap
