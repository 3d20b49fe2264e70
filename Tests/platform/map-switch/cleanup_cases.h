// A clean-up of three ranks in the situations that the tests begin with, and the answers that they give it.
#pragma once

#include "engine_model.h"
#include "policy/groups/placement_number.h"

#include <array>

namespace rampgap::cleanup_cases {

inline constexpr std::size_t ranks = 3;
inline constexpr std::size_t holder = 2;
// Its leader holds steps at the holder.
inline constexpr std::size_t lastArmed = 1;
inline constexpr std::uint64_t heldStep = 12;
inline constexpr std::uint64_t fence = 7;

// The pending order for a rank, or an empty one.
inline map_order orderFor(const rank_change& change, std::size_t rank)
{
    for (const auto& next : change.pending()) {
        if (next.rank == rank)
            return next.order;
    }
    return {};
}

inline bool isPending(const rank_change& change, std::size_t rank)
{
    return orderFor(change, rank).fence != 0;
}

inline rank_view viewOf(std::uint64_t prepared, std::uint64_t armed, std::uint64_t held)
{
    rank_view view;
    view.epoch = 1;
    view.step = heldStep - 1;
    view.preparedPlacement = prepared;
    view.armedPlacement = armed;
    view.armedStep = armed == 0 ? 0 : heldStep;
    view.heldStep = held;
    return view;
}

inline void answer(rank_change& change, std::size_t rank, order_reply reply, const rank_view& after)
{
    change.handleReply(rank, orderFor(change, rank), reply, &after);
}

// A clean-up that has claimed all ranks and secured the hold; each reading shows the rank as prepared and not armed.
inline hold_cleanup securedWith(const std::array<std::uint64_t, ranks>& prepared)
{
    hold_cleanup change(1, ranks, fence);
    for (std::size_t rank = 0; rank < ranks; ++rank)
        answer(change, rank, order_reply::already, viewOf(prepared[rank], 0, rank == holder ? heldStep : 0));
    answer(change, holder, order_reply::already, viewOf(prepared[holder], 0, heldStep));
    return change;
}

// The same after the ranks had prepared different placements, so that all are to be disarmed: those that hold no step are marked,
// and the one that does is armed with what it seems to have prepared.
inline hold_cleanup disarmingWith(const std::array<std::uint64_t, ranks>& prepared)
{
    auto change = securedWith(prepared);
    for (std::size_t rank = 0; rank < ranks; ++rank)
        answer(change, rank, order_reply::already, viewOf(prepared[rank], 0, orderFor(change, rank).step));
    answer(change, holder, order_reply::already, viewOf(prepared[holder], 0, 0));
    return change;
}

// Made by no rank of the group.
inline constexpr std::uint64_t older = placementNumber(5, ranks);
inline constexpr std::uint64_t newer = placementNumber(6, ranks);

} // namespace rampgap::cleanup_cases
