#include "policy/requests/event_filter.h"

#include <iterator>
#include <utility>

namespace rampgap {

namespace {

    // Until enough streams of the service were seen, a stream's own runs say what its ids rise by.
    std::optional<std::uint64_t> usualStep(const event_filter_input& input)
    {
        if (!input.steps)
            return std::nullopt;
        return input.steps->isKnown() ? input.steps->usual() : input.shown.only();
    }

} // namespace

event_filter::event_filter(event_filter_input input)
    : m_judge(input.contract, input.lastId, usualStep(input), input.shown.largest())
    , m_steps(std::move(input.steps))
    , m_previousId(std::move(input.lastId))
    , m_dropsMark(input.goesOn)
{
}

// Nearly all events are sent as they come: these stay where they are.
std::vector<stream_event> event_filter::push(std::string_view bytes)
{
    auto events = m_parser.push(bytes);
    std::vector<stream_event> sendable;
    bool inPlace = true;
    for (auto event = events.begin(); event != events.end() && !m_violation; ++event) {
        const auto verdict = m_judge.judge(*event);
        dropMark(*event);
        if (inPlace && !m_held && verdict.action == event_action::send) {
            recordId(*event);
            continue;
        }
        if (std::exchange(inPlace, false))
            sendable.assign(std::make_move_iterator(events.begin()), std::make_move_iterator(event));
        apply(verdict, std::move(*event), sendable);
    }
    return inPlace ? std::move(events) : std::move(sendable);
}

std::vector<stream_event> event_filter::finish()
{
    std::vector<stream_event> sendable;
    auto rest = m_parser.takeRest();
    if (!rest.bytes.empty()) {
        const auto verdict = m_judge.judgeRest(rest);
        apply(verdict, std::move(rest), sendable);
    }
    m_endedFar = m_held && m_judge.heldFor() == stream_violation::far_id;
    if (!m_violation)
        release(sendable);
    return sendable;
}

std::string event_filter::takeLarge()
{
    std::string bytes = m_parser.takeHeld();
    const auto& event = m_parser.current();
    if (event.hasForeignLine)
        reportViolation(stream_violation::no_field, event, bytes);
    else if (m_held && event.isEvent())
        reportViolation(m_judge.heldFor(), event, {});
    if (m_violation)
        return {};
    if (!m_held)
        return bytes;
    // A comment keeps its place after the event that is held.
    m_held->bytes += bytes;
    return {};
}

// An id that has been is garbage, or the one before it is: then the caller would miss what lies between.
bool event_filter::mayLastBeGarbage() const
{
    return m_violation && m_violation->violation == stream_violation::not_rising && m_judge.lastRoseMost();
}

void event_filter::learn()
{
    if (m_steps && !m_endedFar)
        m_steps->record(m_runSteps);
}

void event_filter::apply(event_verdict verdict, stream_event&& event, std::vector<stream_event>& sendable)
{
    if (verdict.action == event_action::refuse) {
        reportViolation(verdict.violation, event, event.bytes);
        return;
    }
    // The next event confirms the one that is held. What is no event keeps its place after it.
    if (event.isEvent())
        release(sendable);
    recordId(event);
    if (verdict.action == event_action::drop)
        return;
    if (verdict.action == event_action::hold)
        m_held = std::move(event);
    else if (m_held)
        m_held->bytes += event.bytes;
    else
        sendable.push_back(std::move(event));
}

// Readers know it at the start of an answer only: between two runs it would be a part of the next line's name, and hide an id.
void event_filter::dropMark(stream_event& event)
{
    if (std::exchange(m_dropsMark, false) && event.bytes.starts_with(byteOrderMark))
        event.bytes.erase(0, byteOrderMark.size());
}

void event_filter::release(std::vector<stream_event>& sendable)
{
    if (m_held)
        sendable.push_back(std::move(*m_held));
    m_held.reset();
}

void event_filter::reportViolation(stream_violation violation, const stream_event& event, std::string_view bytes)
{
    const auto shown = violation == stream_violation::no_event ? bytes : findForeignLine(bytes);
    m_violation = violation_report { violation, m_previousId, event.id.value_or(""), excerptOf(shown) };
}

// The judge has read the event's number.
void event_filter::recordId(const stream_event& event)
{
    if (!event.id)
        return;
    const auto number = m_judge.lastNumber();
    if (number && m_previous)
        m_runSteps.record(*m_previous, *number);
    m_previous = number;
    m_previousId = *event.id;
}

} // namespace rampgap
