#include "policy/requests/request_fingerprint.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <xxhash.h>

namespace rampgap {

// The hash of each part seeds that of the next, so that moving a character from one part to the next
// changes the result.
request_fingerprint fingerprintOf(std::string_view method, std::string_view target, std::string_view caller, std::string_view body)
{
    std::uint64_t hash = 0;
    for (const std::string_view part : { method, target, caller, body })
        hash = XXH64(part.data(), part.size(), hash);
    return { hash };
}

request_fingerprint fingerprintOfPart(std::string_view service, std::string_view partId)
{
    return { XXH64(partId.data(), partId.size(), XXH64(service.data(), service.size(), 1)) };
}

std::string listOf(const std::vector<request_fingerprint>& fingerprints)
{
    std::string text;
    for (const auto fingerprint : fingerprints)
        text += (text.empty() ? "" : ",") + toString(fingerprint);
    return text;
}

std::string toString(request_fingerprint fingerprint)
{
    std::array<char, 17> digits {};
    std::snprintf(digits.data(), digits.size(), "%016llx", static_cast<unsigned long long>(fingerprint.value));
    return digits.data();
}

std::optional<request_fingerprint> parseFingerprint(std::string_view text)
{
    constexpr int base = 16;
    constexpr std::size_t digits = 16;
    request_fingerprint parsed;
    const auto read = std::from_chars(text.data(), text.data() + text.size(), parsed.value, base);
    if (text.size() != digits || read.ec != std::errc {} || read.ptr != text.data() + text.size())
        return std::nullopt;
    return parsed;
}

} // namespace rampgap
