// Judges each event of one run: whether it belongs to the caller's stream, is there already, or shows that the server sends
// something else. The rules, and the sound streams that each must let through, are in docs/design/requests.md.
#pragma once

#include "policy/requests/event_stream_parser.h"
#include "policy/requests/stream_violation.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rampgap {

// What is promised of the events of a stream.
enum class event_contract {
    // Nothing but the standard of `text/event-stream`: ids may be missing, or no numbers.
    standard,
    // Each event has an id, a number above that of the event before.
    numbered,
};

enum class event_action {
    send,
    // The caller has it already.
    drop,
    // It is to be sent once the next event, or the sound end of the answer, shows that it belongs to the stream.
    hold,
    // The run is not to be used any further.
    refuse,
};

struct event_verdict {
    event_action action = event_action::send;
    // Of what is refused.
    stream_violation violation = stream_violation::none;

    bool operator==(const event_verdict&) const = default;
};

// True if a server can be asked to go on after an event with this id: it fits into a header.
bool mayNameEvent(const std::string& id);

// Whether all events of a run so far have a property, and enough of them to expect it of the next one.
class shown_so_far {
public:
    void record(bool has) { m_count = has && m_count >= 0 ? m_count + 1 : -1; }
    bool isShown() const;

private:
    // Negative once an event did not have it.
    int m_count = 0;
};

class event_judge {
public:
    // `lastId`: of the last event that the caller has; empty: the run begins the stream. `usualStep`: what the service's ids
    // rise by, if that is known. `largestStep`: the largest one that the stream's earlier runs have shown, 0 if they have not.
    event_judge(event_contract, std::string lastId, std::optional<std::uint64_t> usualStep, std::uint64_t largestStep = 0);

    // To be asked of each event of the run, in order. Events that are held come before the event asked for.
    event_verdict judge(const stream_event&);
    // What came of an event before the end of an answer that says itself where it ends.
    event_verdict judgeRest(const stream_event&);
    // The number of the last event that had one.
    std::optional<std::uint64_t> lastNumber() const { return m_previous; }
    // What the event that is held would be, if another event followed.
    stream_violation heldFor() const { return m_held; }
    // The id of the last event that was sent rose by more than any before it: after a violation it may be garbage as well.
    bool lastRoseMost() const { return m_lastRoseMost; }
    // How many events the caller had already.
    std::size_t repeated() const { return m_repeated; }

private:
    event_verdict judgeNumber(const stream_event&, std::uint64_t number);
    // The first number of the stream, and how far one is above the one before.
    event_verdict judgeFirst(std::uint64_t number);
    event_verdict judgeStep(std::uint64_t step);
    event_verdict judgeUnnumbered(const stream_event&, stream_violation);
    event_verdict judgeName(const stream_event&);
    event_verdict repeat(const stream_event&);
    // By how much an id may be above the one before without being held.
    std::uint64_t longestStep() const;

    event_contract m_contract;
    std::string m_lastId;
    std::optional<std::uint64_t> m_last;
    std::optional<std::uint64_t> m_usualStep;
    // An event that the caller does not have has come.
    bool m_goesOn = false;
    // The last event with an id was one before the caller's last.
    bool m_beforeLast = false;
    // The number of the event before, and the largest step of the run.
    std::optional<std::uint64_t> m_previous;
    std::uint64_t m_largestStep = 0;
    // The only step that the run has shown, and how often; 0 if there were several.
    std::uint64_t m_onlyStep = 0;
    int m_steps = 0;
    bool m_lastRoseMost = false;
    // Events of the run, as long as each of them has an id, or an id above the one before.
    shown_so_far m_withId;
    shown_so_far m_rising;
    // What the event that is held would be, if another event follows that refutes it.
    stream_violation m_held = stream_violation::none;
    std::size_t m_repeated = 0;
    std::size_t m_repeatedBytes = 0;
};

} // namespace rampgap
