// One rank's part in a map switch: checks each order before the engine gets it.
#pragma once

#include "policy/map_message.h"

namespace rampgap {

// Steps between a rank's present one and the earliest switch that it accepts.
inline constexpr step_number leastStepsAhead = 2;

// The order to carry out first, then the answer to send once the engine confirmed it.
struct participant_answer {
    engine_order order;
    map_message answer;

    bool operator==(const participant_answer&) const = default;
};

class map_participant {
public:
    // Starts with what the engine reports: an agent's memory does not outlive it.
    map_participant(std::uint64_t incarnation, rank_state reported);

    // `current` is the engine's latest report.
    participant_answer take(const map_message&, const rank_state& current);

    const map_fence& fence() const { return m_fence; }

private:
    participant_answer answer(map_message_kind, const map_message& to, engine_order = {}) const;
    participant_answer prepare(const map_message&);
    participant_answer commit(const map_message&);
    participant_answer abort(const map_message&);

    std::uint64_t m_incarnation;
    map_fence m_fence;
    // The last map that was committed or aborted here: its late orders change nothing.
    map_id m_decided = 0;
    rank_state m_state;
};

// True if the engine may start `step` by its own state: it is not staged up to there.
bool mayStart(const rank_state&, step_number step);

} // namespace rampgap
