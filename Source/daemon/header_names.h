// HTTP headers of rampgap.
#pragma once

#include <string_view>

namespace rampgap::header {

// Sent by callers or to them.
inline constexpr std::string_view idempotencyKey = "Idempotency-Key";
inline constexpr std::string_view notRepeatable = "Rampgap-Not-Repeatable";
inline constexpr std::string_view timeoutMs = "Rampgap-Timeout-Ms";
inline constexpr std::string_view priority = "Rampgap-Priority";
inline constexpr std::string_view session = "Rampgap-Session";
inline constexpr std::string_view revisionSeen = "Rampgap-Revision-Seen";
inline constexpr std::string_view verdict = "Rampgap-Verdict";
inline constexpr std::string_view reason = "Rampgap-Reason";
inline constexpr std::string_view requestId = "Rampgap-Request-Id";
inline constexpr std::string_view revision = "Rampgap-Revision";
inline constexpr std::string_view backend = "Rampgap-Backend";
inline constexpr std::string_view retryAfter = "Retry-After";

// Between an entry VM and an agent; removed from callers' requests.
inline constexpr std::string_view workspace = "Rampgap-Workspace";
inline constexpr std::string_view service = "Rampgap-Service";
inline constexpr std::string_view fingerprint = "Rampgap-Fingerprint";
// Fingerprint of the beginning of the prompt.
inline constexpr std::string_view promptPart = "Rampgap-Prompt-Part";
inline constexpr std::string_view permit = "Rampgap-Permit";
inline constexpr std::string_view clock = "Rampgap-Clock";
inline constexpr std::string_view load = "Rampgap-Load";
inline constexpr std::string_view entry = "Rampgap-Entry";
inline constexpr std::string_view retryAfterMs = "Rampgap-Retry-After-Ms";

// From an engine to its agent, in any answer: requests per second that it accepts, a decimal number.
inline constexpr std::string_view limitPerSecond = "Rampgap-Limit-Per-Second";
// "1" in any answer of an engine that no longer accepts new requests.
inline constexpr std::string_view leaving = "Rampgap-Leaving";

} // namespace rampgap::header
