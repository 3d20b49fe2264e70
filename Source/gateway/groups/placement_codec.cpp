#include "gateway/groups/placement_codec.h"

#include "gateway/groups/bit_stream.h"
#include <algorithm>
#include <bit>

namespace rampgap {

namespace {

    constexpr unsigned countWidth = 16;
    constexpr unsigned bitCountWidth = 8;
    constexpr unsigned widestNumber = 16;

    struct number_widths {
        unsigned experts = 0;
        unsigned expert = 0;
    };

    number_widths widthsOf(const group_placement& placement)
    {
        std::size_t mostExperts = 0;
        std::uint16_t highest = 0;
        for (const auto& set : placement) {
            for (const auto& experts : set) {
                mostExperts = std::max(mostExperts, experts.size());
                for (const std::uint16_t e : experts)
                    highest = std::max(highest, e);
            }
        }
        return { static_cast<unsigned>(std::bit_width(mostExperts)), static_cast<unsigned>(std::bit_width(highest)) };
    }

} // namespace

std::string packPlacement(const group_placement& placement)
{
    const number_widths widths = widthsOf(placement);
    bit_writer bits;
    bits.write(placement.size(), countWidth);
    bits.write(placement.empty() ? 0 : placement.front().size(), countWidth);
    bits.write(widths.experts, bitCountWidth);
    bits.write(widths.expert, bitCountWidth);
    for (const auto& set : placement) {
        for (const auto& experts : set) {
            bits.write(experts.size(), widths.experts);
            for (const std::uint16_t e : experts)
                bits.write(e, widths.expert);
        }
    }
    return bits.finish();
}

std::optional<group_placement> unpackPlacement(std::string_view bytes)
{
    bit_reader bits(bytes);
    const std::size_t sets = bits.read(countWidth);
    const std::size_t ranks = bits.read(countWidth);
    const auto experts = static_cast<unsigned>(bits.read(bitCountWidth));
    const auto expert = static_cast<unsigned>(bits.read(bitCountWidth));
    if (bits.failed() || experts > widestNumber || expert > widestNumber)
        return std::nullopt;
    group_placement placement;
    for (std::size_t set = 0; set < sets && !bits.failed(); ++set) {
        auto& layer = placement.emplace_back();
        for (std::size_t rank = 0; rank < ranks && !bits.failed(); ++rank) {
            auto& rankExperts = layer.emplace_back();
            const std::size_t count = bits.read(experts);
            for (std::size_t i = 0; i < count && !bits.failed(); ++i)
                rankExperts.push_back(static_cast<std::uint16_t>(bits.read(expert)));
        }
    }
    if (bits.failed() || !bits.atEnd())
        return std::nullopt;
    return placement;
}

} // namespace rampgap
