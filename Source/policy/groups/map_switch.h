// Carries out one change of the placement of experts in a group: prepare it at all ranks, hold a
// step at one rank, arm all ranks, and release the step. No rank can begin the held step before the
// release, and the release is sent only after every rank has reported that it is armed.
// The step is held on another VM than the leader's, and the leader arms its own rank last: if
// the leader's machine stalls in between, the other agents can conclude that its rank is not armed
// and never will be, and release the group without it. For the same reason the leader's rank is
// disarmed first: while it is armed, all others are.
// The preparation also claims the ranks: it raises their fences, so that an earlier leader can no
// longer change anything there, and the replies show what that leader has left.
// What a rank is armed with is proved by its answer to an order that names the placement, or by a reading from after the
// claim. A reading from before it proves neither: an engine that stood still carries out the orders in its buffer as it wakes.
#pragma once

#include "policy/groups/rank_types.h"

#include <optional>
#include <vector>

namespace rampgap {

enum class switch_phase {
    // Only in a clean-up: raises the fences of all ranks and reads their state.
    claiming,
    preparing,
    holding,
    arming,
    // All other ranks have reported that they are armed.
    arming_own,
    // All ranks are armed: the change happens once the held step begins.
    releasing,
    // The change failed: no rank may be armed when the held step is released. The rank of the leader
    // that armed them is disarmed first.
    disarming_leader,
    disarming,
    releasing_aborted,
    done,
    failed,
};

struct rank_order_to_send {
    std::size_t rank = 0;
    map_order order;
};

struct switch_settings {
    // The held step is this many steps after the newest reported one. It must be far enough ahead for all
    // ranks to be armed before the group reaches it, and near enough to have begun when a delayed order
    // arrives.
    std::uint64_t stepsAhead = 2;
    // Fencing number of the orders; those that cancel the change carry the next higher one.
    std::uint64_t fence = 0;
};

class map_switch {
public:
    // `ownRank`: the rank of the leader.
    map_switch(std::uint64_t placement, std::shared_ptr<const group_placement> contents, std::uint64_t epoch, std::size_t ranks, std::size_t ownRank, switch_settings);

    // Cleans up after an earlier leader: claims all ranks, disarms them and releases the holds.
    // Without a hold the ranks are left as they are: then the change was released already.
    // `silentRank`: a rank that probably does not answer; it is claimed only where the others' replies
    // don't show that it can be left out.
    static map_switch cleanUp(std::uint64_t epoch, std::size_t ranks, std::uint64_t fence, std::optional<std::size_t> silentRank = std::nullopt);

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
    // True if a clean-up has claimed a rank whose readings are still from before the claim.
    bool awaitsReading() const;

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
    // State that a rank reported when it was claimed.
    struct claimed_rank {
        // The armed placement, otherwise the prepared one.
        std::uint64_t placement = 0;
        std::uint64_t placementInUse = 0;
        // By a reading from after the claim.
        bool unarmed = false;
        // The rank has answered the claim.
        bool answered = false;
        bool hasCurrentReading = false;
        // A reading that may be from before the claim.
        std::optional<rank_view> olderReading;
    };

    void handleClaimed(std::size_t rank, order_reply, const rank_view* after);
    // Counts a rank as claimed; `armed`: the placement that it is, or may be, armed with.
    void confirmClaim(std::size_t rank, const rank_view&, std::uint64_t armed);
    // Counts those ranks as claimed of which an older reading shows enough.
    void acceptOlderReadings();
    bool isPendingPlacement(std::uint64_t placement) const;
    // Continues a clean-up without the rank that is not claimed, if that is safe.
    bool skipUnclaimed();
    void endClaim();
    // The only rank that has not been claimed, if the change that its agent led can be undone
    // without it; otherwise none.
    std::optional<std::size_t> skippableRank() const;
    void handlePrepared(std::size_t rank, order_reply, const rank_view* after);
    void handleHeld(order_reply, const rank_view* after);
    void handleArmed(std::size_t rank, order_reply, const rank_view* after);
    void handleDisarmed(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void handleReleased(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void enter(switch_phase);
    void disarm(std::optional<std::size_t> leaderRank);
    // The rank of the leader whose placement the claimed ranks are armed with.
    std::optional<std::size_t> armingLeader() const;
    void abort(std::string reason);
    bool allConfirmed() const;

    std::uint64_t m_placement;
    std::shared_ptr<const group_placement> m_contents;
    std::uint64_t m_epoch;
    std::size_t m_ownRank;
    std::size_t m_holder;
    std::vector<claimed_rank> m_claimed;
    // The rank that is claimed last; none if it answers like the others.
    std::optional<std::size_t> m_silentRank;
    // The rank that a clean-up leaves out.
    std::optional<std::size_t> m_skippedRank;
    // The rank to disarm first.
    std::size_t m_disarmFirst = 0;
    switch_settings m_settings;
    switch_phase m_phase = switch_phase::preparing;
    std::vector<bool> m_confirmed;
    // Placement to disarm at each rank.
    std::vector<std::uint64_t> m_armed;
    // Earliest step that a rank is armed for; 0 if none is.
    std::uint64_t m_earliestArmedStep = 0;
    // Rank and step of holds to release.
    std::vector<std::pair<std::size_t, std::uint64_t>> m_holds;
    std::uint64_t m_newestStep = 0;
    std::uint64_t m_step = 0;
    bool m_holdPossible = false;
    std::string m_reason;
};

} // namespace rampgap
