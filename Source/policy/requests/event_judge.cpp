#include "policy/requests/event_judge.h"

#include "policy/requests/event_id_steps.h"
#include <algorithm>
#include <limits>
#include <utility>

namespace rampgap {

namespace {

    // A server that begins anew repeats all that the caller has; one that never comes to an end of that is left.
    constexpr std::size_t maxRepeatedEvents = 4'096;
    constexpr std::size_t maxRepeatedBytes = 262'144;
    constexpr std::size_t maxIdBytes = 256;
    // Events from which a stream without a promise counts as one whose events all have ids, or ids that rise: ids in no order rise so
    // often by chance in one of 40,000 streams.
    constexpr int shownEvents = 8;
    // Steps from which the only one of a run is expected to come again.
    constexpr int minOnlySteps = 3;
    // A step so many times the largest one of the run is far, where the service's usual one is not known: an event holds several
    // tokens at times.
    constexpr std::uint64_t farSteps = 8;

    event_verdict refuse(stream_violation violation)
    {
        return { event_action::refuse, violation };
    }

} // namespace

bool mayNameEvent(const std::string& id)
{
    const auto isPrintable = [](unsigned char byte) { return byte > 0x20 && byte != 0x7F; };
    return !id.empty() && id.size() <= maxIdBytes && std::all_of(id.begin(), id.end(), isPrintable);
}

bool shown_so_far::isShown() const
{
    return m_count >= shownEvents;
}

event_judge::event_judge(event_contract contract, std::string lastId, std::optional<std::uint64_t> usualStep, std::uint64_t largestStep)
    : m_contract(contract)
    , m_lastId(std::move(lastId))
    , m_last(eventNumber(m_lastId))
    , m_usualStep(usualStep)
    , m_largestStep(largestStep)
{
}

event_verdict event_judge::judge(const stream_event& event)
{
    if (event.hasForeignLine)
        return refuse(stream_violation::no_field);
    if (!event.isEvent()) {
        const bool isNothingElse = event.hasUnknownField && !event.hasOther;
        return isNothingElse ? refuse(stream_violation::no_event) : event_verdict {};
    }
    if (m_held == stream_violation::no_id || m_held == stream_violation::empty_id)
        return refuse(m_held);
    if (!event.id)
        return judgeUnnumbered(event, stream_violation::no_id);
    if (event.id->empty())
        return judgeUnnumbered(event, stream_violation::empty_id);
    m_withId.record(true);
    const auto number = eventNumber(*event.id);
    if (number)
        return judgeNumber(event, *number);
    return m_contract == event_contract::numbered ? refuse(stream_violation::no_number) : judgeName(event);
}

// The last event of a stream may have no id though all others have one, as the mark of its end, and so may events of a type of their
// own between the others.
event_verdict event_judge::judgeUnnumbered(const stream_event& event, stream_violation violation)
{
    if (m_contract == event_contract::numbered)
        return refuse(violation);
    // What has no id follows the event before it.
    if (m_beforeLast)
        return repeat(event);
    if (event.hasType)
        return {};
    const bool isExpected = m_withId.isShown();
    m_withId.record(false);
    if (!isExpected)
        return {};
    m_held = violation;
    return { event_action::hold, stream_violation::none };
}

event_verdict event_judge::judgeNumber(const stream_event& event, std::uint64_t number)
{
    const auto previous = m_previous;
    if (previous && number <= *previous) {
        if (m_held == stream_violation::far_id)
            return refuse(stream_violation::far_id);
        const bool isRefuted = m_contract == event_contract::numbered || (number < *previous && m_rising.isShown());
        if (isRefuted)
            return refuse(stream_violation::not_rising);
    }
    m_held = stream_violation::none;
    m_rising.record(!previous || number > *previous);
    m_previous = number;
    m_beforeLast = !m_lastId.empty() && m_last && number < *m_last;
    if (!m_lastId.empty() && m_last && number <= *m_last)
        return repeat(event);
    const bool resumes = !m_lastId.empty() && m_last && !std::exchange(m_goesOn, true);
    if (resumes && m_usualStep && number - *m_last > std::max(*m_usualStep, m_largestStep))
        return refuse(stream_violation::gap);
    const auto before = resumes ? m_last : previous;
    return before ? judgeStep(number - std::min(*before, number)) : judgeFirst(number);
}

// Ids mostly begin with what they rise by.
event_verdict event_judge::judgeFirst(std::uint64_t number)
{
    m_largestStep = std::max(m_largestStep, number);
    return {};
}

event_verdict event_judge::judgeStep(std::uint64_t step)
{
    const bool isFar = m_contract == event_contract::numbered && step > longestStep();
    m_lastRoseMost = step > m_largestStep;
    m_largestStep = std::max(m_largestStep, step);
    m_onlyStep = m_steps++ == 0 || m_onlyStep == step ? step : 0;
    if (!isFar)
        return {};
    m_held = stream_violation::far_id;
    return { event_action::hold, stream_violation::none };
}

// Only the caller's last event itself is recognised.
event_verdict event_judge::judgeName(const stream_event& event)
{
    m_previous.reset();
    m_rising.record(false);
    if (!m_lastId.empty() && !m_goesOn && *event.id == m_lastId)
        return repeat(event);
    m_goesOn = true;
    return {};
}

event_verdict event_judge::judgeRest(const stream_event& rest)
{
    const auto verdict = judge(rest);
    if (verdict.action == event_action::refuse || m_contract == event_contract::standard || !rest.isEvent())
        return verdict;
    return refuse(stream_violation::unfinished);
}

// What the stream has shown is not far, whatever the service's other streams do.
std::uint64_t event_judge::longestStep() const
{
    if (m_usualStep)
        return std::max(*m_usualStep, m_largestStep);
    if (m_onlyStep > 0 && m_steps >= minOnlySteps)
        return m_onlyStep;
    constexpr auto largest = std::numeric_limits<std::uint64_t>::max();
    return m_largestStep > largest / farSteps ? largest : farSteps * std::max<std::uint64_t>(1, m_largestStep);
}

event_verdict event_judge::repeat(const stream_event& event)
{
    m_repeated += event.isEvent() ? 1 : 0;
    m_repeatedBytes += event.bytes.size();
    if (m_repeated > maxRepeatedEvents || m_repeatedBytes > maxRepeatedBytes)
        return refuse(stream_violation::repeats);
    return { event_action::drop, stream_violation::none };
}

} // namespace rampgap
