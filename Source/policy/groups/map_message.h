// Messages of an expert map switch, between its coordinator and its ranks.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace rampgap {

using map_id = std::uint64_t;
using step_number = std::uint64_t;

// A fencing token: the number orders the coordinators, and the owner keeps those of two different.
struct map_fence {
    std::uint64_t number = 0;
    std::string owner;

    auto operator<=>(const map_fence&) const = default;
};

// State that a rank's engine reports: its step, the committed map and the staged one.
struct rank_state {
    step_number step = 0;
    map_id committedMap = 0;
    step_number committedStep = 0;
    // 0 if none is staged. The engine does not start `stagedStep` before the map is committed or aborted.
    map_id stagedMap = 0;
    step_number stagedStep = 0;

    bool operator==(const rank_state&) const = default;
};

// Orders of a coordinator, each followed by the answer that confirms it; `refused` answers any order.
enum class map_message_kind { claim,
    state,
    confirm,
    confirmed,
    prepare,
    prepared,
    commit,
    committed,
    abort,
    aborted,
    refused };

struct map_message {
    map_message_kind kind = map_message_kind::claim;
    map_fence fence;
    // Incarnation of the rank's agent: of the receiver in orders, of the sender in answers.
    std::uint64_t incarnation = 0;
    map_id map = 0;
    step_number step = 0;
    rank_state state;

    bool operator==(const map_message&) const = default;
};

enum class engine_order_kind { none,
    stage,
    commit,
    abort };

// An order to a rank's engine.
struct engine_order {
    engine_order_kind kind = engine_order_kind::none;
    map_id map = 0;
    step_number step = 0;

    bool operator==(const engine_order&) const = default;
};

} // namespace rampgap
