#include "policy/permit_office.h"

#include <charconv>

namespace rampgap {

namespace {

    constexpr milliseconds renewAtOnce { 0 };

    failure stale(std::string message)
    {
        return notRun(failure_reason::stale_permit, std::move(message), renewAtOnce);
    }

} // namespace

permit_office::permit_office(std::uint64_t incarnation, instant startedAt)
    : m_incarnation(incarnation)
    , m_startedAt(startedAt)
{
}

std::string permit_office::issue(instant now) const
{
    const auto age = std::chrono::duration_cast<milliseconds>(now - m_startedAt);
    return std::to_string(m_incarnation) + "." + std::to_string(age.count());
}

result<void> permit_office::check(std::string_view permit, instant now) const
{
    std::uint64_t incarnation = 0;
    const char* const end = permit.data() + permit.size();
    const auto first = std::from_chars(permit.data(), end, incarnation);
    if (first.ec != std::errc() || first.ptr == end || *first.ptr != '.')
        return stale("no permit");
    std::int64_t issued = 0;
    const auto second = std::from_chars(first.ptr + 1, end, issued);
    if (second.ec != std::errc() || second.ptr != end)
        return stale("malformed permit");
    // No sign of a pause of the entry VM: this agent restarted.
    if (incarnation != m_incarnation)
        return notRun(failure_reason::not_ready, "the permit is of an earlier start of this agent", renewAtOnce);
    const auto age = std::chrono::duration_cast<milliseconds>(now - m_startedAt) - milliseconds(issued);
    if (age < milliseconds(0) || age > permitLife)
        return stale("the permit is too old");
    return boost::outcome_v2::success();
}

} // namespace rampgap
