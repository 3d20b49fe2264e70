// One change of the placement of experts in a group: prepare at all ranks, hold a step at
// one, arm all, and release. No rank can begin the held step before the release, and the
// release follows only if every rank has shown that it is armed.
// The step is held at another machine than the leader's, and the leader arms its own rank
// last: if its machine stops in between, the others can tell that its rank is not armed, and
// that it never will be, and release the group without it. For this the leader's rank is also
// disarmed first: while it is armed, all others are.
// The preparation also claims the ranks: it raises their fences, so that an earlier leader
// can change nothing there any more, and what it left is seen in the answers.
#pragma once

#include "policy/rank_types.h"

#include <vector>

namespace rampgap {

enum class switch_phase {
    // Only of a clean-up: raises the fences of all ranks and learns their state.
    claiming,
    preparing,
    holding,
    arming,
    // All others have shown that they are armed.
    arming_own,
    // All ranks are armed: the change happens once the held step begins.
    releasing,
    // Something failed: no rank may stay armed before the held step begins. The rank of the
    // leader that armed them comes first.
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
    // Steps between the newest one seen and the held one: the arming should be over before
    // the group gets there, and an order that comes late must find the step begun.
    std::uint64_t stepsAhead = 2;
    // Number that orders carry; a cancelled change goes on with the next one.
    std::uint64_t fence = 0;
};

class map_switch {
public:
    // `ownRank`: the leader's.
    map_switch(std::uint64_t placement, std::shared_ptr<const group_placement> contents, std::uint64_t epoch, std::size_t ranks, std::size_t ownRank, switch_settings);

    // Clears away what an earlier leader left: claims all ranks, disarms them and releases
    // the holds. Without a hold it leaves them as they are: then the change is decided.
    static map_switch cleanUp(std::uint64_t epoch, std::size_t ranks, std::uint64_t fence);

    // Orders that are not confirmed yet; sent again until they are.
    std::vector<rank_order_to_send> pending() const;
    // The reply to an order and, if it could be had, the state of the rank after it.
    void note(std::size_t rank, map_order_kind, order_reply, const rank_view* after);
    // Gives the change up, after a timeout; ignored once the release has begun. A clean-up
    // goes on without the rank of the leader that left the hold, where that is safe.
    void cancel();

    switch_phase phase() const { return m_phase; }
    bool ended() const { return m_phase == switch_phase::done || m_phase == switch_phase::failed; }
    // True if a step may be held now: time counts.
    bool holding() const { return m_holdMayStand && !ended(); }
    std::uint64_t placement() const { return m_placement; }
    std::uint64_t heldStep() const { return m_step; }
    // Why it failed, for the log.
    const std::string& reason() const { return m_reason; }

private:
    // What a rank showed when it was claimed.
    struct claimed_rank {
        std::uint64_t placement = 0;
        bool surelyUnarmed = false;
    };

    void noteClaimed(std::size_t rank, order_reply, const rank_view* after);
    void endClaim();
    // The only rank that has not been claimed, if the change that it led can be undone
    // without it.
    std::optional<std::size_t> dispensableRank() const;
    void notePrepared(std::size_t rank, order_reply, const rank_view* after);
    void noteHeld(order_reply, const rank_view* after);
    void noteArmed(std::size_t rank, order_reply, const rank_view* after);
    void noteDisarmed(std::size_t rank, order_reply, const rank_view* after);
    void noteReleased(std::size_t rank, order_reply, const rank_view* after);
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
    // Left out of a clean-up.
    std::optional<std::size_t> m_absent;
    // The one to disarm first.
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
    bool m_holdMayStand = false;
    std::string m_reason;
};

} // namespace rampgap
