// Passes on the events of one run of a stream that its caller does not have yet.
#pragma once

#include "policy/common/verdict.h"
#include "policy/requests/event_id_steps.h"
#include "policy/requests/event_stream_parser.h"
#include "policy/requests/stream_continuation.h"

#include <memory>

namespace rampgap {

class event_filter {
public:
    // `lastId`: of the last event that the caller has; empty: the run begins the stream. `steps`: of the service's ids, which
    // the run adds to; may be null.
    event_filter(std::string lastId, std::shared_ptr<event_id_steps> steps);

    // The events that are whole now that `bytes` have come, without those that the caller has. The failure of a run that does
    // not go on where the caller's events end.
    result<std::vector<stream_event>> push(std::string_view bytes);
    std::string takeRest() { return m_parser.takeRest(); }
    bool inEvent() const { return m_parser.inEvent(); }
    std::size_t heldBytes() const { return m_parser.heldBytes(); }
    // Events that the caller had already.
    std::size_t repeated() const { return m_continuation.repeated(); }

private:
    void learnStep(const stream_event&);

    event_stream_parser m_parser;
    stream_continuation m_continuation;
    std::shared_ptr<event_id_steps> m_steps;
    // Id of the event before.
    std::optional<std::uint64_t> m_previous;
};

} // namespace rampgap
