// Admission queue of a backend server: bounded, ordered by priority and urgency, fair between workspaces.
#pragma once

#include "policy/common/verdict.h"

#include <compare>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace rampgap {

using admission_id = std::uint64_t;

// Every fourth start among requests of one priority goes to a less urgent class, so that none starves.
inline constexpr int lessUrgentNth = 4;

struct admission_limits {
    // Requests that the backend runs at once.
    int slots = 8;
    int maxQueued = 256;

    bool operator==(const admission_limits&) const = default;
};

struct admission_request {
    std::string workspace;
    // 1 is served first.
    int priority = 5;
    instant deadline;
    // Order within a priority; 0 is the most urgent.
    int urgency = 0;

    bool operator==(const admission_request&) const = default;
};

// Requests that one call of the queue started or refused.
struct admission_outcome {
    std::vector<admission_id> started;
    std::vector<std::pair<admission_id, failure>> refused;

    bool operator==(const admission_outcome&) const = default;
};

struct queue_forecast {
    // Requests that already wait and start before this one.
    int ahead = 0;
    // Starts until the request's own one, which is included, with those that arrive later and overtake it.
    double startsUntil = 1;

    bool operator==(const queue_forecast&) const = default;
};

class admission_queue {
public:
    explicit admission_queue(admission_limits);

    // Adds a request; `outcome` gets what starts or is refused as a result, this request or others.
    admission_id offer(const admission_request&, instant now, admission_outcome&);
    // A started request ended after running for `ran`; frees its slot.
    void finish(admission_id, duration ran, instant now, admission_outcome&);
    // Starts waiting requests for which there are slots, after a rise of the limit.
    void startFitting(instant now, admission_outcome& outcome) { startWaiting(now, outcome); }
    // Removes a waiting request whose caller withdrew it.
    void withdraw(admission_id);
    // Refuses waiting requests that could no longer finish by their deadline.
    void shed(instant now, admission_outcome&);

    void setLimits(admission_limits limits) { m_limits = limits; }
    void setShedding(bool on) { m_shedding = on; }
    // Reserves every `nth` start for requests of `priority` while any of them wait.
    void reserve(int priority, int nth) { m_reserved = { priority, nth }; }
    int running() const { return static_cast<int>(m_running.size()); }
    int queued() const { return m_queued; }
    // How long a request would wait if it were added now.
    duration predictedWait(const std::string& workspace, int priority, int urgency = 0) const;
    // What a request would meet that is added now.
    queue_forecast forecast(const std::string& workspace, int priority, int urgency) const;
    milliseconds averageRun() const;

private:
    struct waiting {
        admission_id id;
        instant deadline;
    };
    struct lane {
        std::deque<waiting> queue;
    };
    // The lanes of one priority and urgency, by workspace.
    using level = std::map<std::string, lane>;
    struct level_key {
        int priority = 0;
        int urgency = 0;

        auto operator<=>(const level_key&) const = default;
    };
    using level_map = std::map<level_key, level>;

    // State of the requests of one urgency.
    struct urgency_class {
        // Virtual time of each workspace for fair queuing: the number of its started requests, at least `floor`.
        std::map<std::string, double> served;
        double floor = 0;
        // Number of the latest start.
        std::uint64_t lastStart = 0;
    };

    struct reservation {
        int priority = 0;
        // 0 if nothing is reserved.
        int nth = 0;
    };

    static bool hasWaiting(const level_map::value_type&);
    // The level whose request starts next. Requires that a request is waiting.
    level_map::iterator nextLevel();
    // The same among the levels of one priority.
    level_map::iterator nextOfPriority(int priority);
    // Requests of the level that start before a new one of the workspace, which is included.
    static std::size_t turnsUntil(const level&, const std::string& workspace);
    void recordStart(level_key);
    void startWaiting(instant now, admission_outcome&);
    bool evictFromLongestLane(const std::string& workspace, admission_outcome&);
    failure shedFailure(duration wait) const;

    admission_limits m_limits;
    reservation m_reserved;
    int m_startsSinceReserved = 0;
    bool m_shedding = true;
    admission_id m_nextId = 1;
    int m_queued = 0;
    level_map m_levels;
    std::map<int, urgency_class> m_classes;
    // By priority: starts since one of a less urgent class, while one waits.
    std::map<int, int> m_startsSinceLessUrgent;
    std::uint64_t m_starts = 0;
    // Fraction of the recent starts that each level got.
    std::map<level_key, double> m_startShares;
    std::map<admission_id, std::string> m_running;
    double m_averageRunMs = 0;
};

} // namespace rampgap
