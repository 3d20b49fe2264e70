// What the leader of an expert group knows of its ranks, and what it decides to do.
#pragma once

#include "policy/demand_estimate.h"
#include "policy/pass_model.h"
#include "policy/rank_types.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace rampgap {

struct rank_observation {
    std::string backendId;
    rank_view view;
    // Choices of experts since the last observation of the same rank; empty if not known.
    std::vector<std::uint64_t> choices;
};

enum class leader_task {
    none,
    // A step is held by nobody who is at work.
    clean_up,
    // The contents of the placement in use are not known: ask the ranks.
    learn_placement,
    change_placement,
};

struct monitor_settings {
    planner_limits limits;
    demand_settings demand;
    // A rank that was not observed for so long is not known.
    milliseconds observationLife { 800 };
    // A change must take at least this share off the predicted step time of the experts.
    double leastGain = 0.12;
    // The same while passes would be short enough for callers with a good deal more work.
    double leastGainAtEase = 0.12;
    // Published figures of the engines; without a number of steps a pass they say nothing.
    engine_costs costs;
    // Between two plans; counts come each 100 ms.
    milliseconds planPause { 100 };
    // A hold that nobody at work explains for so long is cleared away.
    milliseconds strayLife { 250 };

    bool operator==(const monitor_settings&) const = default;
};

// How long the copies of one change may take, one expert a rank at the least: small changes
// relieve the most loaded rank soonest, and the next change brings the rest.
inline constexpr double longestCopyMs = 200;

// Milliseconds that one expert takes to copy, by the published figures.
double expertCopyMs(const engine_costs&);
// How a leader decides for engines with these figures.
monitor_settings monitorSettingsFor(const engine_costs&);

class group_monitor {
public:
    explicit group_monitor(monitor_settings);

    // Longest pause between two events that callers of the service accept; 0: not known.
    void setLongestGap(milliseconds gap) { m_longestGap = gap; }
    // The group to lead, by default the first that is observed. Another one than before starts
    // over: nothing that was learnt of one group's ranks may reach another's.
    void follow(const std::string& group);
    const std::string& group() const { return m_group; }
    // Ranks of other groups, and of earlier epochs, are ignored.
    void observe(const rank_observation&, instant now);
    // Choices of experts by any ranks of the group, since they were last asked.
    void noteChoices(const std::vector<std::uint64_t>&, instant now);
    // All ranks told their experts of the placement in use.
    void learn(std::uint64_t placement, group_placement contents);
    // The change to `contents` was begun, and how it ended.
    void noteChanged(std::uint64_t placement, group_placement contents);
    void noteEnded();

    leader_task decide(instant now);
    // The contents that `change_placement` asks for.
    const group_placement& planned() const { return m_planned; }
    // The placement in use, without contents if they are not known.
    numbered_placement current() const;
    // Of the placement in use with the demand of now; 1 while either is unknown.
    double skewNow() const;
    double currentSkew() const { return m_currentSkew; }
    double slowestPace() const;
    double plannedSkew() const { return m_plannedSkew; }

    // Known and current: every rank of an open group, all in one epoch.
    bool complete(instant now) const;
    std::uint64_t epoch() const { return m_epoch; }
    std::uint32_t groupSize() const { return m_size; }
    // A number for a placement that no leader of this epoch has used: above all that were
    // seen, from the leader's rank, and from its time of day, since it may have been restarted.
    std::uint64_t nextPlacement(std::uint32_t leaderRank, std::uint64_t wallMs) const;
    // The server of each rank, by rank; empty where it is not known.
    std::vector<std::string> backendIds() const;
    std::optional<rank_view> view(std::uint32_t rank) const;
    // Rank and step of the holds that were seen, and a placement that some rank is armed with.
    std::vector<std::pair<std::size_t, std::uint64_t>> holds() const;
    std::uint64_t armedPlacement() const;
    std::uint64_t placementInUse() const;

private:
    struct held_rank {
        rank_observation last;
        instant at;
    };

    void reset(std::uint64_t epoch);
    bool isOutdated(const rank_view&, instant now) const;
    rank_paces paces() const;
    // With the skew of now: passes leave room for more work than there is.
    bool atEase() const;

    monitor_settings m_settings;
    milliseconds m_longestGap { 0 };
    std::string m_group;
    std::map<std::uint32_t, held_rank> m_ranks;
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
    std::optional<instant> m_straySince;
};

} // namespace rampgap
