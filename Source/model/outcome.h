// What callers of a modelled fleet met.
#pragma once

#include "policy/common/verdict.h"

#include <string>
#include <vector>

namespace rampgap::model {

enum class caller_end {
    in_time,
    late,
    // Told that it had not run, and not served later.
    refused,
    // Any other end without a whole answer.
    failed,
};

// Callers by the second in which they came.
struct second_tally {
    int in_time = 0;
    int late = 0;
    int refused = 0;
    int failed = 0;

    int callers() const { return in_time + late + refused + failed; }
    bool operator==(const second_tally&) const = default;
};

struct outcome {
    std::vector<second_tally> seconds;
    std::vector<double> firstEventMs;
    std::vector<double> longestGapMs;
    int placementChanges = 0;
    int copies = 0;
    double meanSkew = 1;
    int secondTries = 0;

    second_tally total() const;
    // Of the callers' worth, with half of it for a late answer.
    double worth() const;
    double unserved() const;

    bool operator==(const outcome&) const = default;
};

std::string toTable(const outcome&);
std::string toJson(const outcome&);
// Time lines of callers in time, late and not served, one above the other; `marks`: instants of
// faults in milliseconds.
std::string toSvg(const std::vector<std::pair<std::string, outcome>>&, const std::vector<double>& marks);

} // namespace rampgap::model
