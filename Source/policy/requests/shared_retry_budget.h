// Bounds the retries of all entry VMs together, without messages between them.
#pragma once

#include "policy/common/verdict.h"

#include <deque>
#include <map>
#include <string>

namespace rampgap {

struct retry_bounds {
    // Retries per request, over a sliding window.
    double ratio = 0.1;
    // Retries in a window that the whole fleet may make in addition.
    double allowance = 0;
    milliseconds window { 10'000 };
    // Fraction of its share that a process uses: its window and the one over which users count do not
    // begin at the same time.
    double caution = 0.8;

    bool operator==(const retry_bounds&) const = default;
};

// This process's share of the budget of each service: `ratio` of its own requests in the last window,
// and an equal part of the allowance.
class shared_retry_budget {
public:
    // A process may replace one that has used up its part of the allowance, so it has no part of the
    // allowance for a first window after its start.
    shared_retry_budget(retry_bounds, instant startedAt);

    // Number of entry VMs that may share the allowance now.
    void setSharingProcesses(std::size_t count);
    void recordRequest(const std::string& service, instant now);
    // True if the budget allows a retry now.
    bool allowsRetry(const std::string& service, instant now);
    // Uses one retry of the budget; false if the budget is used up.
    bool tryConsume(const std::string& service, instant now);

private:
    struct window {
        std::deque<instant> requests;
        std::deque<instant> retries;
    };

    void expire(window&, instant now) const;

    retry_bounds m_bounds;
    instant m_startedAt;
    std::size_t m_sharers = 1;
    std::map<std::string, window> m_services;
};

} // namespace rampgap
