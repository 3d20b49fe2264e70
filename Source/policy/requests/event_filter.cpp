#include "policy/requests/event_filter.h"

#include <algorithm>

namespace rampgap {

event_filter::event_filter(std::string lastId, std::shared_ptr<event_id_steps> steps)
    : m_continuation(std::move(lastId), steps ? steps->usual() : std::nullopt)
    , m_steps(std::move(steps))
{
}

result<std::vector<stream_event>> event_filter::push(std::string_view bytes)
{
    auto events = m_parser.push(bytes);
    bool drops = false;
    for (auto& event : events) {
        learnStep(event);
        switch (m_continuation.check(event)) {
        case continuation_verdict::send:
            break;
        case continuation_verdict::drop:
            event.bytes.clear();
            drops = true;
            break;
        case continuation_verdict::gap:
            return mayHaveRun(failure_reason::backend_error, "the server that was to go on with the stream left events out");
        case continuation_verdict::too_many_repeated:
            return mayHaveRun(failure_reason::backend_error, "the server that was to go on with the stream repeats too much of it");
        }
    }
    if (drops)
        std::erase_if(events, [](const stream_event& event) { return event.bytes.empty(); });
    return events;
}

void event_filter::learnStep(const stream_event& event)
{
    if (!m_steps || !event.id)
        return;
    const auto number = eventNumber(*event.id);
    if (number && m_previous)
        m_steps->record(*m_previous, *number);
    m_previous = number;
}

} // namespace rampgap
