// Carries out one change of the placement of experts in a group: prepare it at all ranks, hold a
// step at one rank, arm all ranks, and release the step. No rank can begin the held step before the
// release, and the release is sent only after every rank has been proved to be armed.
// The step is held on another VM than the leader's, and the leader arms its own rank last: if
// the leader's machine stalls in between, the other agents can conclude that its rank is not armed
// and never will be, and release the group without it. For the same reason the leader's rank is
// disarmed first: while it is armed, all others are.
// The preparation also claims the ranks: it raises their fences, so that an earlier leader can no
// longer change anything there.
#pragma once

#include "policy/groups/rank_change.h"

namespace rampgap {

struct switch_settings {
    // The held step is this many steps after the newest reported one. It must be far enough ahead for all
    // ranks to be armed before the group reaches it, and near enough to have begun when a delayed order
    // arrives.
    std::uint64_t stepsAhead = 2;
    // Fencing number of the orders, which no other change uses; those that disarm or release carry the next higher one.
    std::uint64_t fence = 0;
};

class map_switch : public rank_change {
public:
    // `ownRank`: the rank of the leader.
    map_switch(std::uint64_t placement, std::shared_ptr<const group_placement> contents, std::uint64_t epoch, std::size_t ranks, std::size_t ownRank, switch_settings);

    // Ignored once the release has begun.
    void cancel() override;

private:
    std::vector<rank_order_to_send> pendingInPhase() const override;
    void handleInPhase(std::size_t rank, const map_order& sent, order_reply, const rank_view* after) override;
    void handlePrepared(std::size_t rank, order_reply, const rank_view* after);
    void handleHeld(order_reply, const rank_view* after);
    void handleArmed(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void abort(std::string reason);

    std::shared_ptr<const group_placement> m_contents;
    std::size_t m_holder;
    std::uint64_t m_stepsAhead;
};

} // namespace rampgap
