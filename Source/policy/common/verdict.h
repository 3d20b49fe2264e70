// Whether a request may have run, and the description of its failure.
#pragma once

#include "policy/common/instant.h"

#include <boost/outcome.hpp>
#include <compare>
#include <optional>
#include <string>
#include <string_view>

namespace rampgap {

// What is known about the execution of a request that failed.
enum class verdict { not_run,
    may_have_run,
    ran };

// Why a request failed. Its name is the metric label and the error code of the answer.
enum class failure_reason {
    unauthenticated,
    forbidden,
    not_found,
    invalid_request,
    too_large,
    headers_too_large,
    not_implemented,
    rate_limited,
    queue_full,
    deadline,
    no_backend,
    retries_exhausted,
    leaving,
    not_ready,
    // The agent does not own the request id.
    not_home,
    // The agent cannot yet rule out that the id has run elsewhere.
    unproven,
    stale_permit,
    stale_revision,
    duplicate,
    key_reused,
    connection_lost,
    backend_error,
    crashes_servers,
    server_limit,
    server_backoff,
};

// A failure of one request. `retryAfter` is set if a later retry may succeed.
struct failure {
    verdict ran = verdict::not_run;
    failure_reason reason = failure_reason::invalid_request;
    std::string message;
    std::optional<milliseconds> retryAfter;

    bool operator==(const failure&) const = default;
};

// The failure of a request that was not run.
failure notRun(failure_reason, std::string message, std::optional<milliseconds> retryAfter = std::nullopt);
// The failure of a request that may have run.
failure mayHaveRun(failure_reason, std::string message);

template <class Value>
using result = boost::outcome_v2::checked<Value, failure>;

std::string_view toString(verdict);
std::string_view toString(failure_reason);
std::optional<verdict> parseVerdict(std::string_view);
std::optional<failure_reason> parseFailureReason(std::string_view);

// The HTTP status that a caller sees for a failure.
int httpStatus(failure_reason);

} // namespace rampgap
