#include "gateway/placement_codec.h"

#include <algorithm>

namespace rampgap {

namespace {

    constexpr std::size_t headerWidth = 2;
    constexpr std::size_t bitsPerByte = 8;
    // Highest expert's number that takes one byte.
    constexpr std::uint16_t highestNarrow = 255;

    void put(std::string& bytes, std::size_t number, std::size_t width)
    {
        for (std::size_t i = 0; i < width; ++i)
            bytes.push_back(static_cast<char>(number >> (i * bitsPerByte) & highestNarrow));
    }

    class byte_reader {
    public:
        explicit byte_reader(std::string_view bytes)
            : m_left(bytes)
        {
        }

        std::size_t take(std::size_t width)
        {
            if (m_left.size() < width) {
                m_failed = true;
                return 0;
            }
            std::size_t number = 0;
            for (std::size_t i = 0; i < width; ++i)
                number |= static_cast<std::size_t>(static_cast<unsigned char>(m_left[i])) << (i * bitsPerByte);
            m_left.remove_prefix(width);
            return number;
        }

        bool failed() const { return m_failed; }
        bool atEnd() const { return m_left.empty(); }

    private:
        std::string_view m_left;
        bool m_failed = false;
    };

    std::size_t widthOf(const group_placement& placement)
    {
        for (const auto& set : placement) {
            for (const auto& experts : set) {
                if (std::any_of(experts.begin(), experts.end(), [](std::uint16_t e) { return e > highestNarrow; }))
                    return 2;
            }
        }
        return 1;
    }

} // namespace

std::string packPlacement(const group_placement& placement)
{
    std::string bytes;
    const std::size_t width = widthOf(placement);
    put(bytes, placement.size(), headerWidth);
    put(bytes, placement.empty() ? 0 : placement.front().size(), headerWidth);
    put(bytes, width, headerWidth);
    for (const auto& set : placement) {
        for (const auto& experts : set) {
            put(bytes, experts.size(), 1);
            for (const std::uint16_t e : experts)
                put(bytes, e, width);
        }
    }
    return bytes;
}

std::optional<group_placement> unpackPlacement(std::string_view bytes)
{
    byte_reader reader(bytes);
    const std::size_t sets = reader.take(headerWidth);
    const std::size_t ranks = reader.take(headerWidth);
    const std::size_t width = reader.take(headerWidth);
    if (reader.failed() || width < 1 || width > 2)
        return std::nullopt;
    group_placement placement;
    for (std::size_t set = 0; set < sets && !reader.failed(); ++set) {
        auto& layer = placement.emplace_back();
        for (std::size_t rank = 0; rank < ranks && !reader.failed(); ++rank) {
            auto& experts = layer.emplace_back();
            const std::size_t count = reader.take(1);
            for (std::size_t i = 0; i < count && !reader.failed(); ++i)
                experts.push_back(static_cast<std::uint16_t>(reader.take(width)));
        }
    }
    if (reader.failed() || !reader.atEnd())
        return std::nullopt;
    return placement;
}

} // namespace rampgap
