// Routing policies compared on both users' workloads.

#include "bench/bench_flags.h"
#include "bench/benchmarks.h"
#include "bench/percentiles.h"
#include "bench/routing_lab.h"

#include <iostream>

namespace rampgap::bench {

int benchRouting(const bench_flags& flags)
{
    const int requests = flags.quick ? 20'000 : 100'000;
    std::cout << describeRun(flags) << " requests=" << requests << "\n";
    const std::vector<routing_case> cases {
        { "agency", "none", 100, requests, flags.seed },
        { "agency", "none", 1'000, requests, flags.seed },
        { "agency", "none", 5'000, requests, flags.seed },
        { "agency", "slow_engine", 100, requests, flags.seed },
        { "agency", "zone_cut", 100, requests, flags.seed },
        { "plakanet", "none", 100, requests, flags.seed },
        { "plakanet", "none", 5'000, requests, flags.seed },
        { "plakanet", "slow_engine", 100, requests, flags.seed },
    };
    for (const auto& what : cases) {
        for (const std::string policy : { "round_robin", "least_outstanding", "random_two", "prefix_affinity", "scored" }) {
            const auto figures = runRouting(what, policy);
            std::cout << "workload=" << what.workload << " fault=" << what.fault << " lag_ms=" << what.reportLagMs << " policy=" << policy
                      << " first_token_ms_p50=" << percentile(figures.firstTokenMs, 0.5) << " p95=" << percentile(figures.firstTokenMs, 0.95) << " p99=" << percentile(figures.firstTokenMs, 0.99)
                      << " step_gap_ms_p50=" << percentile(figures.stepGapMs, 0.5) << " p95=" << percentile(figures.stepGapMs, 0.95) << " p99=" << percentile(figures.stepGapMs, 0.99)
                      << " hit_rate=" << figures.hitRate << " failed=" << figures.failedShare << std::endl;
        }
    }
    return 0;
}

} // namespace rampgap::bench
