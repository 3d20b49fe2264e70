// Cleans up after a leader that has left a step held: claims all ranks and makes the hold certain. Where all ranks have prepared the
// same placement, they are armed once more for the held step, which ends the earlier change as it was planned. Otherwise it is undone.
// Without a hold the ranks are left as they are: then the change was released already.
#pragma once

#include "policy/groups/rank_change.h"

namespace rampgap {

class hold_cleanup : public rank_change {
public:
    // `silentRank`: a rank that probably does not answer; it is claimed only where the others' replies
    // don't show that it can be left out. Without it the change is undone.
    // `seenHolds`: holds that readings have shown; others are found with the claims, which takes a round longer.
    hold_cleanup(std::uint64_t epoch, std::size_t ranks, std::uint64_t fence, std::optional<std::size_t> silentRank = std::nullopt, const std::vector<rank_hold>& seenHolds = {});

    // Continues without the rank of the leader that left the hold, where that is safe.
    void cancel() override;
    // True if it has marked ranks whose readings are still from before the mark.
    bool awaitsReading() const override;

private:
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
        bool unarmed = false;
        // By a reading that shows the mark of this clean-up: so it was when the rank was claimed.
        bool certain = false;

        // True if the newest placement is still to be used, so that the rank may be armed with it.
        bool isPending() const { return placement > placementInUse; }
    };

    std::vector<rank_order_to_send> pendingInPhase() const override;
    void handleInPhase(std::size_t rank, const map_order& sent, order_reply, const rank_view* after) override;
    void noteReading(std::size_t rank, const rank_view&) override;

    std::vector<rank_order_to_send> pendingClaims() const;
    void handleClaimed(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void endClaim();

    void addHold(std::size_t rank, std::uint64_t step);
    bool holdsStep(std::size_t rank) const;
    std::vector<rank_order_to_send> pendingSecures() const;
    void handleSecured(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void endSecuring();
    void holdNextStep();
    bool allPreparedTheSame() const;

    // The step that only this clean-up holds.
    std::uint64_t markStep() const;
    void mark();
    void handleMarked(std::size_t rank, order_reply, const rank_view* after);
    void handleMarkReleased(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    // Takes back the marks, and leaves the rest to a later clean-up.
    void withdrawMarks(std::string reason);

    // Continues without the rank that is not claimed, if it seems that this is safe.
    bool skipUnclaimed();
    // The only rank that has not been claimed, if the others' readings show that the change that its agent led can be undone
    // without it; otherwise none.
    std::optional<std::size_t> skippableRank() const;
    // True if the marked ranks prove that the skipped rank is not armed and never will be.
    bool skipIsProved() const;
    void claimSkipped();

    std::vector<rank_order_to_send> pendingRearms() const;
    void handleRearmed(std::size_t rank, const map_order& sent, order_reply, const rank_view* after);
    void handleRearmRefused(std::size_t rank);
    void endRearming();
    void undo();

    std::vector<found_rank> m_found;
    // The rank that is claimed last; none if it answers like the others.
    std::optional<std::size_t> m_silentRank;
    bool m_skipRefuted = false;
    bool m_marked = false;
    // A rank has refused to be armed once more: the change is undone.
    bool m_armingRefused = false;
    // What is armed now is disarmed again.
    bool m_undoing = false;
    // The rank that was last ordered to hold the next step.
    std::size_t m_nextHolder = 0;
};

} // namespace rampgap
