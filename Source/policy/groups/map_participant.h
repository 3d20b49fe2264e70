// The participant of a map switch at one rank: checks each order before it goes to the engine.
#pragma once

#include "policy/groups/map_message.h"

namespace rampgap {

// Fewest steps between a rank's present step and a switch that it accepts.
inline constexpr step_number minStepsAhead = 2;

// An order for the engine, and the answer to send once the engine has confirmed the order.
struct participant_answer {
    engine_order order;
    map_message answer;

    bool operator==(const participant_answer&) const = default;
};

class map_participant {
public:
    // Starts with the state that the engine reports, since an agent keeps no state over a restart.
    map_participant(std::uint64_t incarnation, rank_state reported);

    // `current` is the engine's latest report.
    participant_answer handle(const map_message&, const rank_state& current);

    const map_fence& fence() const { return m_fence; }

private:
    participant_answer answer(map_message_kind, const map_message& to, engine_order = {}) const;
    participant_answer prepare(const map_message&);
    participant_answer commit(const map_message&);
    participant_answer abort(const map_message&);

    std::uint64_t m_incarnation;
    map_fence m_fence;
    // The last map that was committed or aborted here: late orders for it change nothing.
    map_id m_decided = 0;
    rank_state m_state;
};

// True if the state that an engine reports after an order shows that it has carried out the order.
bool isCarriedOut(const engine_order&, const rank_state& after);
// True if no staged map keeps the engine from starting `step`.
bool mayStart(const rank_state&, step_number step);

} // namespace rampgap
