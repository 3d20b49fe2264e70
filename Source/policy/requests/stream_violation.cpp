#include "policy/requests/stream_violation.h"

#include <array>

namespace rampgap {

namespace {

    constexpr std::array<std::string_view, streamViolationCount> names { "none", "no_field", "no_event", "no_id", "empty_id", "no_number", "not_rising", "far_id", "gap", "repeats", "unfinished" };

} // namespace

std::string_view toString(stream_violation violation)
{
    return names.at(static_cast<std::size_t>(violation));
}

std::string excerptOf(std::string_view bytes)
{
    constexpr std::string_view digits = "0123456789abcdef";
    std::string text;
    for (const unsigned char byte : bytes.substr(0, maxExcerptBytes)) {
        const bool isPlain = byte >= 0x20 && byte < 0x7F && byte != '"' && byte != '\\';
        if (isPlain)
            text.push_back(static_cast<char>(byte));
        else
            text.append("\\x").append({ digits[byte >> 4], digits[byte & 0xF] });
    }
    return text;
}

} // namespace rampgap
