// Messages of an expert map switch, between its coordinator and its ranks.
#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

namespace rampgap {

using map_id = std::uint64_t;
using step_number = std::uint64_t;

// A fencing number; the owner makes those of two coordinators differ.
struct map_fence {
    std::uint64_t number = 0;
    std::string owner;

    auto operator<=>(const map_fence&) const = default;
};

// What a rank's engine reports: the map in use and one that is staged.
struct rank_state {
    step_number step = 0;
    map_id committedMap = 0;
    step_number committedStep = 0;
    // 0 if none is staged; from `stagedStep` on the engine waits for the decision.
    map_id stagedMap = 0;
    step_number stagedStep = 0;

    bool operator==(const rank_state&) const = default;
};

// Orders, and the one answer that tells that an order was carried out.
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
    // Of the rank's agent: the addressee's in orders, the sender's in answers.
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
