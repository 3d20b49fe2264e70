// Recognises a repeated request, which has a new id each time.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rampgap {

struct request_fingerprint {
    std::uint64_t value = 0;

    auto operator<=>(const request_fingerprint&) const = default;
};

// Hashes what stays the same when the same caller sends the same request again.
request_fingerprint fingerprintOf(std::string_view method, std::string_view target, std::string_view caller, std::string_view body);

// Recognises a part of prompts that requests to one service share, by the part's id.
request_fingerprint fingerprintOfPart(std::string_view service, std::string_view partId);

// 16 hexadecimal digits, which reveal nothing about the caller's key.
std::string toString(request_fingerprint);
// The same for each, separated by commas.
std::string listOf(const std::vector<request_fingerprint>&);
// Empty if the text is not a fingerprint.
std::optional<request_fingerprint> parseFingerprint(std::string_view);

} // namespace rampgap
