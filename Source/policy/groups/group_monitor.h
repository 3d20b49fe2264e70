// Collects what the leader of an expert group knows of its ranks, and decides its next task.
#pragma once

#include "policy/groups/demand_estimate.h"
#include "policy/groups/pass_model.h"
#include "policy/groups/rank_types.h"
#include "policy/groups/step_rate.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rampgap {

struct rank_observation {
    std::string backendId;
    rank_view view;
    // Counts of chosen experts since the last observation of the same rank; empty if not known.
    std::vector<std::uint64_t> choices;
};

enum class leader_task {
    none,
    // Release a held step that belongs to no change in progress.
    clean_up,
    // The contents of the placement in use are not known: query the ranks.
    query_placement,
    change_placement,
};

struct monitor_settings {
    planner_limits limits;
    demand_settings demand;
    // The state of a rank counts as unknown once it was not observed for this long.
    milliseconds observationTimeout { 800 };
    // A change must shorten the predicted step time of the experts by at least this share.
    double minGain = 0.12;
    // The same while the group has headroom: it would meet its callers' target with half as much
    // load again.
    double minGainWithHeadroom = 0.12;
    // Published figures of the engines; not used where the steps of a pass are not given.
    engine_costs costs;
    // Time between two plans; new counts arrive each 100 ms.
    milliseconds planInterval { 100 };
    // A hold that belongs to no change in progress is released after this time.
    milliseconds strayHoldTimeout { 250 };

    bool operator==(const monitor_settings&) const = default;
};

// The longest time, in milliseconds, that a rank may spend on copying experts for one change. One expert for each rank may always be
// copied, even if it takes longer. Short changes take effect soon; the next one brings what is left.
inline constexpr double maxCopyMs = 200;

// Milliseconds that one expert takes to copy, by the published figures.
double expertCopyMs(const engine_costs&);
// Settings of a leader for engines with these figures.
monitor_settings monitorSettingsFor(const engine_costs&);

class group_monitor {
public:
    explicit group_monitor(monitor_settings);

    // Longest gap between two events of a stream that callers of the service accept; 0: not known.
    void setLongestGap(milliseconds gap) { m_longestGap = gap; }
    // The group to lead, by default the first that is observed. A change of the group discards all
    // state: nothing known of one group's ranks may be used for another's.
    void follow(const std::string& group);
    const std::string& group() const { return m_group; }
    // Ranks of other groups, and of earlier epochs, are ignored.
    void observe(const rank_observation&, instant now);
    // Counts of experts chosen by any ranks of the group, since they were last queried.
    void recordChoices(const std::vector<std::uint64_t>&, instant now);
    // Sets the contents of the placement in use, once they are known from all ranks.
    void setPlacement(std::uint64_t placement, group_placement contents);
    // Records that a change to `contents` was completed.
    void recordPlacementChange(std::uint64_t placement, group_placement contents);
    // Records that this agent took over from a leader that fell silent: what was known of the ranks is
    // outdated, and a hold that is found now is an abandoned one.
    void recordTakeover();
    // Records that a change ended, whether it was completed or not.
    void recordChangeEnd();

    leader_task decide(instant now);
    // The placement to change to after `change_placement` was decided.
    const group_placement& planned() const { return m_planned; }
    // The placement in use, without contents if they are not known.
    numbered_placement current() const;
    // Skew of the placement in use with the present demand; 1 while either is unknown.
    double skewNow() const;
    double currentSkew() const { return m_currentSkew; }
    double slowestPace() const;
    double plannedSkew() const { return m_plannedSkew; }
    milliseconds longestGap() const { return m_longestGap; }
    group_progress progress() const;

    // The only rank that was not observed; none if there are several or none.
    std::optional<std::size_t> unobservedRank() const;
    // True if the current state of every rank is known, and all are in the same epoch of an open group.
    bool complete(instant now) const;
    std::uint64_t epoch() const { return m_epoch; }
    std::uint32_t groupSize() const { return m_size; }
    // The highest placement number that a rank has shown.
    std::uint64_t highestPlacement() const { return m_highestPlacement; }
    // The server of each rank, by rank; empty where it is not known.
    std::vector<std::string> backendIds() const;
    std::optional<rank_view> view(std::uint32_t rank) const;
    // Rank and step of each hold.
    std::vector<std::pair<std::size_t, std::uint64_t>> holds() const;
    // A placement that some rank is armed with; 0 if there is none.
    std::uint64_t armedPlacement() const;
    std::uint64_t placementInUse() const;

private:
    struct known_rank {
        rank_observation last;
        instant at;
    };

    void reset(std::uint64_t epoch);
    bool isOutdated(const rank_view&, instant now) const;
    rank_paces paces() const;
    // True if passes would stay short enough with half as much load again, at the present skew.
    bool hasHeadroom() const;

    monitor_settings m_settings;
    milliseconds m_longestGap { 0 };
    std::string m_group;
    std::map<std::uint32_t, known_rank> m_ranks;
    std::uint64_t m_epoch = 0;
    std::uint32_t m_size = 0;
    demand_estimate m_demand;
    std::uint64_t m_highestPlacement = 0;
    std::optional<std::uint64_t> m_knownPlacement;
    std::shared_ptr<const group_placement> m_current = std::make_shared<group_placement>();
    group_placement m_planned;
    double m_currentSkew = 1;
    double m_plannedSkew = 1;
    instant m_pauseUntil {};
    std::optional<instant> m_strayHoldSince;
    // Clean-ups that may begin as soon as a hold is seen.
    int m_immediateCleanUps = 0;
};

} // namespace rampgap
