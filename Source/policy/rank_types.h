// What the engines of an expert group show of themselves as ranks, and the orders they take.
// The ranks run in lock-step and must use one placement of experts in each step.
#pragma once

#include "policy/verdict.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rampgap {

// Experts that a rank holds, by layer set and rank.
using group_placement = std::vector<std::vector<std::vector<std::uint16_t>>>;

// What an engine reports of itself as a rank.
struct rank_view {
    std::string group;
    std::uint64_t epoch = 0;
    std::uint32_t rank = 0;
    // False while the group lacks a rank.
    bool open = false;
    std::uint32_t groupSize = 0;
    // The last step that was begun.
    std::uint64_t step = 0;
    std::uint64_t placementInUse = 0;
    // Complete copy of a placement, not yet used; 0 if there is none.
    std::uint64_t preparedPlacement = 0;
    // Placement that the rank takes up at a step; 0 if there is none.
    std::uint64_t armedPlacement = 0;
    std::uint64_t armedStep = 0;
    // The step that the group may not begin before this rank is released; 0 if there is none.
    std::uint64_t heldStep = 0;
    // Orders that have begun something.
    std::uint64_t orders = 0;
    int queued = 0;
    int active = 0;
    // Over 1: the engine is slow.
    double pace = 1;
    // Start of the engine's process in Unix milliseconds; 0 where it does not tell.
    std::uint64_t incarnation = 0;
    // Read beside the engine; from another machine the values are some hundred ms old.
    bool fresh = true;

    bool operator==(const rank_view&) const = default;
};

struct expert_counts {
    std::uint64_t step = 0;
    std::uint64_t epoch = 0;
    // As in rank_view.
    std::uint64_t incarnation = 0;
    // Set by set, expert by expert.
    std::vector<std::uint64_t> counts;

    bool operator==(const expert_counts&) const = default;
};

// A placement and its number.
struct numbered_placement {
    std::uint64_t number = 0;
    std::shared_ptr<const group_placement> contents;
};

enum class map_order_kind {
    prepare,
    hold,
    arm,
    disarm,
    release,
};

// The experts that one rank holds, by layer set, and the placement they belong to.
struct rank_experts {
    std::uint64_t placement = 0;
    std::vector<std::vector<std::uint16_t>> sets;

    bool operator==(const rank_experts&) const = default;
};

struct map_order {
    map_order_kind kind = map_order_kind::prepare;
    std::uint64_t placement = 0;
    std::uint64_t step = 0;
    std::uint64_t epoch = 0;
    // An engine refuses orders with a lower number than it has seen.
    std::uint64_t fence = 0;
    // Void unless the rank has begun so many orders.
    std::optional<std::uint64_t> expectedOrders;
    // Of a preparation.
    std::shared_ptr<const group_placement> contents;
};

enum class order_reply {
    accepted,
    already,
    // Does not fit the state of the engine.
    conflict,
    fenced,
    refused,
    // May have been accepted, or may be carried out later.
    unanswered,
};

std::string_view toString(map_order_kind);
std::string_view toString(order_reply);

} // namespace rampgap
