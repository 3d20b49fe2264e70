#include "policy/common/verdict.h"

#include <array>

namespace rampgap {

namespace {

    struct reason_row {
        failure_reason reason;
        std::string_view name;
        int status;
    };

    constexpr std::array reasonTable {
        reason_row { failure_reason::unauthenticated, "unauthenticated", 401 },
        reason_row { failure_reason::forbidden, "forbidden", 403 },
        reason_row { failure_reason::not_found, "not_found", 404 },
        reason_row { failure_reason::invalid_request, "invalid_request", 400 },
        reason_row { failure_reason::too_large, "too_large", 413 },
        reason_row { failure_reason::headers_too_large, "headers_too_large", 431 },
        reason_row { failure_reason::not_implemented, "not_implemented", 501 },
        reason_row { failure_reason::rate_limited, "rate_limited", 429 },
        reason_row { failure_reason::queue_full, "queue_full", 503 },
        reason_row { failure_reason::deadline, "deadline", 504 },
        reason_row { failure_reason::no_backend, "no_backend", 503 },
        reason_row { failure_reason::retries_exhausted, "retries_exhausted", 503 },
        reason_row { failure_reason::leaving, "leaving", 503 },
        reason_row { failure_reason::not_ready, "not_ready", 503 },
        reason_row { failure_reason::not_home, "not_home", 503 },
        reason_row { failure_reason::unproven, "unproven", 503 },
        reason_row { failure_reason::stale_permit, "stale_permit", 503 },
        reason_row { failure_reason::stale_revision, "stale_revision", 503 },
        reason_row { failure_reason::duplicate, "duplicate", 409 },
        reason_row { failure_reason::key_reused, "key_reused", 422 },
        reason_row { failure_reason::connection_lost, "connection_lost", 502 },
        reason_row { failure_reason::backend_error, "backend_error", 502 },
        reason_row { failure_reason::crashes_servers, "crashes_servers", 503 },
        reason_row { failure_reason::server_limit, "server_limit", 503 },
        reason_row { failure_reason::server_backoff, "server_backoff", 503 },
    };

    const reason_row& row(failure_reason reason)
    {
        return reasonTable[static_cast<std::size_t>(reason)];
    }

    constexpr std::array<std::string_view, 3> verdictNames { "not_run", "may_have_run", "ran" };

} // namespace

failure notRun(failure_reason reason, std::string message, std::optional<milliseconds> retryAfter)
{
    return { verdict::not_run, reason, std::move(message), retryAfter };
}

failure mayHaveRun(failure_reason reason, std::string message)
{
    return { verdict::may_have_run, reason, std::move(message), std::nullopt };
}

std::string_view toString(verdict value)
{
    return verdictNames[static_cast<std::size_t>(value)];
}

std::string_view toString(failure_reason reason)
{
    return row(reason).name;
}

std::optional<verdict> parseVerdict(std::string_view text)
{
    for (std::size_t i = 0; i < verdictNames.size(); ++i) {
        if (verdictNames[i] == text)
            return static_cast<verdict>(i);
    }
    return std::nullopt;
}

std::optional<failure_reason> parseFailureReason(std::string_view text)
{
    for (const auto& entry : reasonTable) {
        if (entry.name == text)
            return entry.reason;
    }
    return std::nullopt;
}

int httpStatus(failure_reason reason)
{
    return row(reason).status;
}

} // namespace rampgap
