// Bounds further tries over all entry VMs together, by arithmetic instead of messages.
#pragma once

#include "policy/verdict.h"

#include <deque>
#include <map>
#include <string>

namespace rampgap {

struct retry_bounds {
    // Further tries for each request, over a sliding window.
    double ratio = 0.1;
    // Further tries in a window that the whole fleet has besides.
    double allowance = 0;
    milliseconds window { 10'000 };
    // Part of its share that a process uses: windows of processes and of the users' count
    // do not begin at the same time.
    double caution = 0.8;

    bool operator==(const retry_bounds&) const = default;
};

// A share of the budget for each service: `ratio` of our own requests in the last window,
// and an equal part of the allowance.
class shared_retry_budget {
public:
    // A process that starts may follow one that had used its part of the allowance: it has
    // none of its own for a first window.
    shared_retry_budget(retry_bounds, instant startedAt);

    // Entry VMs that may be sharing the allowance now.
    void setSharers(std::size_t count);
    void noteRequest(const std::string& service, instant now);
    // True if a further try could be taken now.
    bool has(const std::string& service, instant now);
    // Takes one further try; false if the budget is used up.
    bool take(const std::string& service, instant now);

private:
    struct window {
        std::deque<instant> requests;
        std::deque<instant> tries;
    };

    void forgetOld(window&, instant now) const;

    retry_bounds m_bounds;
    instant m_startedAt;
    std::size_t m_sharers = 1;
    std::map<std::string, window> m_services;
};

} // namespace rampgap
