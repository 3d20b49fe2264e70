// Orders to the ranks of a group that change its placement of experts or clean up after such a change, and what their answers prove.
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

// A placement number that is never used: real ones are far higher, and 0 is the placement that a
// group opens with.
inline constexpr std::uint64_t neverPrepared = 1;

// The rank has carried out the order, or it had nothing to do.
bool isDone(order_reply);

// The rank at which a leader holds the step: the one after its own. If the leader's machine stands still, its own engine does so,
// too, and could not be told to release the step.
std::size_t holderFor(std::size_t leaderRank, std::size_t ranks);

class rank_change {
public:
    virtual ~rank_change() = default;

    // The orders that are not confirmed yet; they are sent again until they are.
    std::vector<rank_order_to_send> pending() const;
    // Handles the reply to the order `sent`. `after`: the state of the rank after the order, or null if it
    // could not be read.
    void handleReply(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    // Ends the change early after a timeout, as far as that is safe.
    virtual void cancel() = 0;
    // Ends the change where its orders no longer fit the group, or are repeated without effect; the next clean-up finds out
    // what is left.
    void abandon(std::string reason);
    // True if the change waits for a reading that shows what it has ordered.
    virtual bool awaitsReading() const { return false; }

    switch_phase phase() const { return m_phase; }
    bool ended() const { return m_phase == switch_phase::done || m_phase == switch_phase::failed; }
    // True if a step may be held now: until it is released the group cannot pass it.
    bool holding() const { return m_holdPossible && !ended(); }
    std::uint64_t placement() const { return m_placement; }
    std::uint64_t heldStep() const { return m_step; }
    std::uint64_t epoch() const { return m_epoch; }
    // The fence of its next orders.
    std::uint64_t fence() const { return m_fence; }
    // Why the change failed, for the log.
    const std::string& reason() const { return m_reason; }

protected:
    rank_change(std::uint64_t epoch, std::size_t ranks, std::uint64_t fence);

    // The orders and replies of the phases before something is disarmed or released.
    virtual std::vector<rank_order_to_send> pendingInPhase() const = 0;
    virtual void handleInPhase(std::size_t rank, const map_order& sent, order_reply, const rank_view* after) = 0;
    // Called with each state of a rank in this epoch, of any age.
    virtual void noteReading(std::size_t, const rank_view&) { }

    void enter(switch_phase);
    // Disarms the ranks that may be armed (m_armed), and releases the holds then.
    void enterDisarming();
    void enterRelease(switch_phase);
    void fail(std::string reason);
    bool allConfirmed() const;
    map_order orderOf(map_order_kind, std::uint64_t placement, std::uint64_t step) const;
    std::vector<rank_order_to_send> toUnconfirmed(const map_order&) const;

    std::uint64_t m_placement = 0;
    std::uint64_t m_epoch;
    std::uint64_t m_fence;
    switch_phase m_phase = switch_phase::preparing;
    std::vector<bool> m_confirmed;
    // Placement that each rank is, or may be, armed with; `neverPrepared` if it is surely not.
    std::vector<std::uint64_t> m_armed;
    // The rank that is armed last and disarmed first: the leader's, or that of the leader who held the step.
    std::size_t m_lastRank = 0;
    // The rank that a clean-up leaves out.
    std::optional<std::size_t> m_skippedRank;
    // Holds to release.
    std::vector<rank_hold> m_holds;
    std::uint64_t m_newestStep = 0;
    std::uint64_t m_step = 0;
    bool m_holdPossible = false;
    std::string m_reason;

private:
    std::vector<rank_order_to_send> pendingDisarms() const;
    std::vector<rank_order_to_send> pendingReleases() const;
    void handleDisarmed(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void handleReleased(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void raiseFence();

    bool m_fenceRaised = false;
};

} // namespace rampgap
