#include "policy/requests/permit_issuer.h"

#include <charconv>

namespace rampgap {

namespace {

    constexpr milliseconds retryAtOnce { 0 };

    failure stale(std::string message)
    {
        return notRun(failure_reason::stale_permit, std::move(message), retryAtOnce);
    }

} // namespace

permit_issuer::permit_issuer(std::uint64_t incarnation, instant startedAt)
    : m_incarnation(incarnation)
    , m_startedAt(startedAt)
{
}

std::string permit_issuer::issue(instant now) const
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - m_startedAt);
    return std::to_string(m_incarnation) + "." + std::to_string(age.count());
}

result<void> permit_issuer::check(std::string_view permit, instant now) const
{
    std::uint64_t incarnation = 0;
    const char* const end = permit.data() + permit.size();
    const auto incarnationParsed = std::from_chars(permit.data(), end, incarnation);
    if (incarnationParsed.ec != std::errc() || incarnationParsed.ptr == end || *incarnationParsed.ptr != '.')
        return stale("no permit");
    std::int64_t issued = 0;
    const auto issuedParsed = std::from_chars(incarnationParsed.ptr + 1, end, issued);
    if (issuedParsed.ec != std::errc() || issuedParsed.ptr != end)
        return stale("malformed permit");
    // The agent restarted, which doesn't mean that the entry VM was paused.
    if (incarnation != m_incarnation)
        return notRun(failure_reason::not_ready, "the permit is of an earlier start of this agent", retryAtOnce);
    const auto age = std::chrono::duration_cast<milliseconds>(now - m_startedAt) - milliseconds(issued);
    if (age < milliseconds(0) || age > permitLifetime)
        return stale("the permit is too old");
    return boost::outcome_v2::success();
}

} // namespace rampgap
