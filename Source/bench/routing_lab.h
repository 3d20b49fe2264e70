// Routing policies before small fake engines, in virtual time.
#pragma once

#include "policy/routing/routing_policy.h"

#include <cstdint>
#include <string>
#include <vector>

namespace rampgap::bench {

// What is tried: which users, and what is wrong.
struct routing_case {
    std::string workload;
    std::string fault;
    // Load reports reach an entry VM this late.
    double reportLagMs = 100;
    int requests = 60'000;
    std::uint64_t seed = 0;
};

struct routing_figures {
    std::vector<double> firstTokenMs;
    std::vector<double> stepGapMs;
    double hitRate = 0;
    double failedShare = 0;
};

routing_figures runRouting(const routing_case&, const std::string& policy);

} // namespace rampgap::bench
