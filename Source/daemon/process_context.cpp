#include "daemon/process_context.h"

#include <iostream>

namespace rampgap {

namespace {

    constexpr std::size_t timelineCapacity = 4'096;

    std::int64_t wallNow()
    {
        return std::chrono::duration_cast<std::chrono::nanoseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
    }

} // namespace

process_context::process_context(std::string name, std::string zone, std::string role)
    : m_name(std::move(name))
    , m_zone(std::move(zone))
    , m_role(std::move(role))
    , m_incarnation(static_cast<std::uint64_t>(wallNow()))
    , m_startedAt(boot_clock::now())
    , m_timeline(m_name, m_zone, timelineCapacity)
    , m_random(std::random_device {}())
{
    recordEvent(event_kind::started, "", "");
}

void process_context::recordEvent(event_kind kind, std::string correlation, std::string detail)
{
    const auto steady = std::chrono::duration_cast<std::chrono::nanoseconds>(now().time_since_epoch()).count();
    m_timeline.add(kind, std::move(correlation), std::move(detail), wallNow(), steady);
}

void process_context::reportException(std::string_view task, std::string_view reason)
{
    m_metrics.add(metric::task_exceptions);
    if (m_onException)
        m_onException(task, reason);
    else
        std::cerr << "event=task_failed task=" << task << " reason=\"" << reason << "\"\n";
}

} // namespace rampgap
