// Passes on the events of one run of a stream that its caller does not have yet.
#pragma once

#include "policy/requests/event_id_steps.h"
#include "policy/requests/event_judge.h"
#include "policy/requests/event_stream_parser.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rampgap {

// What the caller of a stream has, and what is known of the streams of its service.
struct event_filter_input {
    event_contract contract = event_contract::standard;
    // Id of the last event that the caller has; empty: the run begins the stream.
    std::string lastId;
    // Of the service's ids; a run that ended soundly adds to them. May be null.
    std::shared_ptr<event_id_steps> steps;
    // The steps that the stream's earlier runs have shown.
    run_steps shown {};
    // Bytes of an earlier run come before those of this one in the caller's answer.
    bool goesOn = false;
};

// Which event of a run showed that it is not to be used, for the log.
struct violation_report {
    stream_violation violation = stream_violation::none;
    // Id of the event before, and of this one.
    std::string previousId;
    std::string id;
    // The start of the bytes that are no event, escaped; empty if they are one.
    std::string excerpt;

    bool operator==(const violation_report&) const = default;
};

class event_filter {
public:
    explicit event_filter(event_filter_input);

    // The events that are whole now that `bytes` have come, without those that the caller has. After a violation nothing more
    // of the run is to be used.
    std::vector<stream_event> push(std::string_view bytes);
    // At the sound end of the answer: the events that were held, and the rest.
    std::vector<stream_event> finish();
    // The bytes of the event that is not whole yet, for one that is too large to be kept until it is.
    std::string takeLarge();
    const std::optional<violation_report>& violation() const { return m_violation; }
    // After a violation: the last event that was sent may be garbage as well, so that no server is to go on after it.
    bool mayLastBeGarbage() const;
    bool inEvent() const { return m_parser.inEvent(); }
    std::size_t heldBytes() const { return m_parser.heldBytes() + (m_held ? m_held->bytes.size() : 0); }
    // The steps that the run has shown so far.
    const run_steps& steps() const { return m_runSteps; }
    // The answer is whole: what its ids rise by counts for the service.
    void learn();
    // Events that the caller had already.
    std::size_t repeated() const { return m_judge.repeated(); }

private:
    // Adds what may be sent now that the event was judged.
    void apply(event_verdict, stream_event&&, std::vector<stream_event>& sendable);
    void release(std::vector<stream_event>& sendable);
    // Takes the byte order mark off the run's first event.
    void dropMark(stream_event&);
    // `bytes`: of the event.
    void reportViolation(stream_violation, const stream_event&, std::string_view bytes);
    void recordId(const stream_event&);

    event_stream_parser m_parser;
    event_judge m_judge;
    std::shared_ptr<event_id_steps> m_steps;
    run_steps m_runSteps;
    // Number and id of the event before.
    std::optional<std::uint64_t> m_previous;
    std::string m_previousId;
    // An event that is to be confirmed by the next one, with the comments after it.
    std::optional<stream_event> m_held;
    // The run ended with an id that no other one has confirmed.
    bool m_endedFar = false;
    // The first event is to be sent without a byte order mark.
    bool m_dropsMark = false;
    std::optional<violation_report> m_violation;
};

} // namespace rampgap
