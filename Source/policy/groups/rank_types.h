// What the engine of one rank of an expert group reports, and the orders that it accepts. The engines of a group are its ranks:
// they run each step together, and all must use the same placement of experts in it.
#pragma once

#include "policy/common/verdict.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace rampgap {

// The experts that each rank holds, indexed by layer set and rank.
using group_placement = std::vector<std::vector<std::vector<std::uint16_t>>>;

// A hold of a step from here on is the mark of a clean-up: no group ever reaches such a step. With a fence's sequence and rank
// added it stays below 2^53, so that JSON carries it exactly.
inline constexpr std::uint64_t firstMarkStep = std::uint64_t { 1 } << 52U;

// State that an engine reports as a rank.
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
    // Placement that is completely copied but not yet used; 0 if there is none.
    std::uint64_t preparedPlacement = 0;
    // Placement that the rank starts to use at `armedStep`; 0 if there is none.
    std::uint64_t armedPlacement = 0;
    std::uint64_t armedStep = 0;
    // The step that the group cannot begin before this rank releases it; 0 if there is none.
    std::uint64_t heldStep = 0;
    // Number of orders that the engine has accepted and begun.
    std::uint64_t orders = 0;
    int queued = 0;
    int active = 0;
    // How much longer than usual the engine takes for its work; over 1: it is slow.
    double pace = 1;
    // Start of the engine's process in Unix milliseconds; 0 if the engine does not report it.
    std::uint64_t incarnation = 0;
    // True if the values were read on the engine's own machine. Others are some hundred ms old, and so are these where an engine
    // does not recognise its machine: they are no proof.
    bool fresh = true;

    // True if the group may have to wait for this rank: a mark holds nothing up.
    bool holdsUp() const { return heldStep != 0 && heldStep < firstMarkStep; }
    bool operator==(const rank_view&) const = default;
};

struct expert_counts {
    std::uint64_t step = 0;
    std::uint64_t epoch = 0;
    // As in rank_view.
    std::uint64_t incarnation = 0;
    // Ordered by layer set, then by expert.
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
    // The order only applies if the engine has begun exactly so many orders (rank_view::orders).
    std::optional<std::uint64_t> expectedOrders;
    // Only for `prepare`.
    std::shared_ptr<const group_placement> contents;
};

enum class order_reply {
    accepted,
    // The engine is already in the requested state.
    already,
    // The order does not fit the state of the engine.
    conflict,
    // Refused, since the engine has received an order with a higher fencing number.
    fenced,
    refused,
    // No answer: the order may have been accepted, or may still be carried out later.
    unanswered,
};

std::string_view toString(map_order_kind);
std::string_view toString(order_reply);

} // namespace rampgap
