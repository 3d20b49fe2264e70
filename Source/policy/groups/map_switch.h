// Carries out one change of the placement of experts in a group: prepare it at all ranks, hold a
// step at one rank, arm all ranks, and release the step. No rank can begin the held step before the
// release, and the release is sent only after every rank has been proved to be armed.
// The step is held on another VM than the leader's, and the leader arms its own rank last: if
// the leader's machine stalls in between, the other agents can conclude that its rank is not armed
// and never will be, and release the group without it. For the same reason the leader's rank is
// disarmed first: while it is armed, all others are.
// The preparation also claims the ranks: it raises their fences, so that an earlier leader can no
// longer change anything there.
// No proof rests on the age of a reading: engines answer from a state of some time ago, and an engine that stood still carries out
// the orders in its buffer as it wakes. A rank's state is proved by its answer to an order that names the state, or by a reading
// that shows what only this change can have brought about. Other readings say only what is worth ordering.
#pragma once

#include "policy/groups/rank_types.h"

#include <optional>
#include <string_view>
#include <utility>
#include <vector>

namespace rampgap {

enum class switch_phase {
    // Only in a clean-up: raises the fences of all ranks and reads their state.
    claiming,
    // Only in a clean-up: orders the hold that was found once more, so that it is certain, and marks ranks whose state must be known
    // for certain.
    securing,
    preparing,
    holding,
    arming,
    // All other ranks have reported that they are armed.
    arming_own,
    // All ranks are armed: the change happens once the held step begins.
    releasing,
    // The change failed: no rank may be armed when the held step is released. The rank of the leader
    // that held it is disarmed first.
    disarming_leader,
    disarming,
    releasing_aborted,
    done,
    failed,
};

std::string_view toString(switch_phase);

struct rank_order_to_send {
    std::size_t rank = 0;
    map_order order;
};

// A rank and the step that it holds.
using rank_hold = std::pair<std::size_t, std::uint64_t>;

struct switch_settings {
    // The held step is this many steps after the newest reported one. It must be far enough ahead for all
    // ranks to be armed before the group reaches it, and near enough to have begun when a delayed order
    // arrives.
    std::uint64_t stepsAhead = 2;
    // Fencing number of the orders, which no other change uses; those that disarm or release carry the next higher one.
    std::uint64_t fence = 0;
};

class map_switch {
public:
    // `ownRank`: the rank of the leader.
    map_switch(std::uint64_t placement, std::shared_ptr<const group_placement> contents, std::uint64_t epoch, std::size_t ranks, std::size_t ownRank, switch_settings);

    // Cleans up after an earlier leader: claims all ranks and makes the hold certain. Where all have prepared the same placement,
    // they are armed once more for the held step, which ends the earlier change as it was planned. Otherwise it is undone.
    // Without a hold the ranks are left as they are: then the change was released already.
    // `silentRank`: a rank that probably does not answer; it is claimed only where the others' replies
    // don't show that it can be left out. Without it the change is undone.
    // `seenHolds`: holds that readings have shown; others are found with the claims, which takes a round longer.
    static map_switch cleanUp(std::uint64_t epoch, std::size_t ranks, std::uint64_t fence, std::optional<std::size_t> silentRank = std::nullopt, const std::vector<rank_hold>& seenHolds = {});

    // The orders that are not confirmed yet; they are sent again until they are.
    std::vector<rank_order_to_send> pending() const;
    // Handles the reply to the order `sent`. `after`: the state of the rank after the order, or null if it
    // could not be read.
    void handleReply(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    // Aborts the change after a timeout; ignored once the release has begun. A clean-up continues
    // without the rank of the leader that left the hold, where that is safe.
    void cancel();
    // Ends the change where its orders no longer fit the group, or are repeated without effect; the next clean-up finds out
    // what is left.
    void abandon(std::string reason);
    // True if a clean-up has marked a rank whose readings are still from before the mark.
    bool awaitsReading() const;
    bool isCleanUp() const { return m_isCleanUp; }

    switch_phase phase() const { return m_phase; }
    bool ended() const { return m_phase == switch_phase::done || m_phase == switch_phase::failed; }
    // True if a step may be held now: until it is released the group cannot pass it.
    bool holding() const { return m_holdPossible && !ended(); }
    std::uint64_t placement() const { return m_placement; }
    std::uint64_t heldStep() const { return m_step; }
    std::uint64_t epoch() const { return m_epoch; }
    // Why the change failed, for the log.
    const std::string& reason() const { return m_reason; }

private:
    // What a clean-up knows of a rank.
    struct found_rank {
        // The newest placement that a reading has shown, armed or prepared; 0 if none has. It may have a newer one.
        std::uint64_t placement = 0;
        std::uint64_t placementInUse = 0;
        // The step that a reading has shown as held; 0 if none has.
        std::uint64_t heldStep = 0;
        // The step whose hold was ordered anew with the claim; 0 if none was.
        std::uint64_t securedStep = 0;
        // The hold was refused: the step has begun, or the rank holds another one.
        bool holdRefused = false;
        // By the last reading. Where that shows the mark of this clean-up, the rank was not armed when it was claimed.
        bool unarmed = false;

        // True if the newest placement is still to be used, so that the rank may be armed with it.
        bool isPending() const { return placement > placementInUse; }
    };

    void noteReading(std::size_t rank, const rank_view&);
    void handleClaimed(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void endClaim();
    void handleSecured(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void handleMarked(std::size_t rank, order_reply, const rank_view* after);
    void addHold(std::size_t rank, std::uint64_t step);
    std::vector<rank_order_to_send> pendingSecures() const;
    void handleMarkReleased(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void endSecuring();
    void holdNextStep();
    bool allPreparedTheSame() const;
    void mark();
    bool holdsStep(std::size_t rank) const;
    void undo();
    void enterDisarming();
    void enterRelease(switch_phase);
    void raiseFence();
    // Continues a clean-up without the rank that is not claimed, if it seems that this is safe.
    bool skipUnclaimed();
    // The only rank that has not been claimed, if the others' readings show that the change that its agent led can be undone
    // without it; otherwise none.
    std::optional<std::size_t> skippableRank() const;
    // True if the marked ranks prove that the skipped rank is not armed and never will be.
    bool skipIsProved() const;
    void claimSkipped();
    // Takes back the marks, and leaves the rest to a later clean-up.
    void withdrawMarks(std::string reason);
    std::uint64_t markStep() const;
    void handlePrepared(std::size_t rank, order_reply, const rank_view* after);
    void handleHeld(order_reply, const rank_view* after);
    void handleArmed(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void handleRearmed(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void handleRearmRefused(std::size_t rank);
    void endRearming();
    std::vector<rank_order_to_send> pendingRearms() const;
    std::vector<rank_order_to_send> pendingReleases() const;
    void handleDisarmed(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void handleReleased(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void enter(switch_phase);
    map_order orderOf(map_order_kind, std::uint64_t placement, std::uint64_t step) const;
    std::vector<rank_order_to_send> toUnconfirmed(const map_order&) const;
    void abort(std::string reason);
    void fail(std::string reason);
    bool allConfirmed() const;

    std::uint64_t m_placement;
    std::shared_ptr<const group_placement> m_contents;
    std::uint64_t m_epoch;
    // The rank that is armed last and disarmed first: the leader's, or that of the leader who held the step.
    std::size_t m_ownRank;
    std::size_t m_holder;
    bool m_isCleanUp = false;
    std::vector<found_rank> m_found;
    // The rank that is claimed last; none if it answers like the others.
    std::optional<std::size_t> m_silentRank;
    // The rank that a clean-up leaves out.
    std::optional<std::size_t> m_skippedRank;
    bool m_skipRefuted = false;
    bool m_marked = false;
    // A rank has refused to be armed once more: the change is undone.
    bool m_armingRefused = false;
    // In a clean-up: what is armed now is disarmed again.
    bool m_undoing = false;
    bool m_fenceRaised = false;
    switch_settings m_settings;
    switch_phase m_phase = switch_phase::preparing;
    std::vector<bool> m_confirmed;
    // Placement that each rank is, or may be, armed with.
    std::vector<std::uint64_t> m_armed;
    // Rank and step of holds to release.
    std::vector<rank_hold> m_holds;
    std::uint64_t m_newestStep = 0;
    std::uint64_t m_step = 0;
    bool m_holdPossible = false;
    std::string m_reason;
};

} // namespace rampgap
