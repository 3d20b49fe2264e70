// Admission at a backend server: bounded, by priority, fair between workspaces.
#pragma once

#include "policy/verdict.h"

#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <vector>

namespace rampgap {

using admission_id = std::uint64_t;

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

    bool operator==(const admission_request&) const = default;
};

// Who may start and who is given up, as the result of one call.
struct admission_outcome {
    std::vector<admission_id> started;
    std::vector<std::pair<admission_id, failure>> refused;

    bool operator==(const admission_outcome&) const = default;
};

class admission_queue {
public:
    explicit admission_queue(admission_limits);

    // Takes a request in; `outcome` says at once whether it, or another, starts or is refused.
    admission_id offer(const admission_request&, instant now, admission_outcome&);
    // A started request ended after `ran`; frees its slot.
    void finish(admission_id, duration ran, instant now, admission_outcome&);
    // A waiting request was withdrawn by its caller.
    void withdraw(admission_id);
    // Refuses those whose deadline the predicted wait no longer meets.
    void shed(instant now, admission_outcome&);

    void setLimits(admission_limits limits) { m_limits = limits; }
    void setShedding(bool on) { m_shedding = on; }
    // While anyone waits at `priority`, every `nth` start is theirs, whoever else waits.
    void reserve(int priority, int nth) { m_reserved = { priority, nth }; }
    int running() const { return static_cast<int>(m_running.size()); }
    int queued() const { return m_queued; }
    // The wait that a request of this workspace and priority would meet now.
    duration predictedWait(const std::string& workspace, int priority) const;
    milliseconds averageRun() const;

private:
    struct waiting {
        admission_id id;
        instant deadline;
    };
    struct lane {
        std::deque<waiting> queue;
    };
    // Lanes of one priority by workspace.
    using level = std::map<std::string, lane>;

    struct reservation {
        int priority = 0;
        // 0: nothing is reserved.
        int nth = 0;
    };

    // The level whose turn it is; there must be one that waits.
    std::map<int, level>::iterator nextLevel();
    void startWaiting(instant now, admission_outcome&);
    bool makeRoom(const std::string& workspace, admission_outcome&);
    failure shedFailure(duration wait) const;

    admission_limits m_limits;
    reservation m_reserved;
    int m_startsSinceReserved = 0;
    bool m_shedding = true;
    admission_id m_nextId = 1;
    int m_queued = 0;
    std::map<int, level> m_levels;
    // Virtual time of each workspace: requests started, never behind the floor.
    std::map<std::string, double> m_served;
    double m_floor = 0;
    std::map<admission_id, std::string> m_running;
    double m_averageRunMs = 0;
};

} // namespace rampgap
