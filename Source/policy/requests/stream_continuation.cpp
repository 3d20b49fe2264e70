#include "policy/requests/stream_continuation.h"

#include "policy/requests/event_id_steps.h"
#include <algorithm>

namespace rampgap {

namespace {

    // A server that begins anew repeats all that the caller has; one that never comes to an end of that is left.
    constexpr std::size_t maxRepeatedEvents = 4'096;
    constexpr std::size_t maxRepeatedBytes = 262'144;
    constexpr std::size_t maxIdBytes = 256;

} // namespace

bool mayNameEvent(const std::string& id)
{
    const auto isPrintable = [](unsigned char byte) { return byte > 0x20 && byte != 0x7F; };
    return !id.empty() && id.size() <= maxIdBytes && std::all_of(id.begin(), id.end(), isPrintable);
}

stream_continuation::stream_continuation(std::string lastId, std::optional<std::uint64_t> usualStep)
    : m_lastId(std::move(lastId))
    , m_last(eventNumber(m_lastId))
    , m_usualStep(usualStep)
{
}

// Ids rise. Where one is missing or no number, only the caller's last event itself is recognised: nothing sound may be broken off.
continuation_verdict stream_continuation::check(const stream_event& event)
{
    if (m_lastId.empty())
        return continuation_verdict::send;
    // What has no id follows the event before it.
    if (!event.id)
        return m_beforeLast ? repeat(event) : continuation_verdict::send;
    const auto number = eventNumber(*event.id);
    if (m_last && number) {
        m_beforeLast = *number < *m_last;
        if (*number <= *m_last)
            return repeat(event);
        const bool leavesOut = !m_goesOn && m_usualStep && *number - *m_last > *m_usualStep;
        if (leavesOut)
            return continuation_verdict::gap;
    } else if (!m_goesOn && *event.id == m_lastId) {
        return repeat(event);
    }
    m_goesOn = true;
    return continuation_verdict::send;
}

continuation_verdict stream_continuation::repeat(const stream_event& event)
{
    m_repeated += event.isEvent() ? 1 : 0;
    m_repeatedBytes += event.bytes.size();
    if (m_repeated > maxRepeatedEvents || m_repeatedBytes > maxRepeatedBytes)
        return continuation_verdict::too_many_repeated;
    return continuation_verdict::drop;
}

} // namespace rampgap
