// Keeps the measured passes of all groups of a process, and corrects their predicted passes by them.
#pragma once

#include "policy/groups/group_directory.h"
#include "policy/groups/pass_estimate.h"
#include "policy/routing/backend_directory.h"
#include "policy/routing/load_table.h"

#include <map>

namespace rampgap {

// What was measured of a group, and what follows from it.
struct pass_measure {
    group_key key;
    measured_pass measured;
    double predictedMs = 0;
    group_slowdown slowdown;
    // Age of the leader's last report of the ranks' counts.
    milliseconds age { 0 };
};

class pass_feedback {
public:
    // A gap between two events of a stream from the server, a rank of a group.
    void recordGap(const std::string& service, const engine_costs&, std::uint32_t backendHash, duration gap, const group_directory&, instant now);
    // Updates the token factors of the service's groups, at most each 50 ms. True if it did.
    bool update(const std::string& service, const engine_costs&, const backend_directory&, const load_table&, group_directory&, instant now);
    // The groups of the service that had a measure at the last update.
    std::vector<pass_measure> measures(const std::string& service) const;

private:
    struct service_state {
        std::optional<instant> updatedAt;
        std::vector<pass_measure> measures;
    };

    std::map<group_key, pass_estimate> m_estimates;
    std::map<std::string, service_state> m_services;
};

} // namespace rampgap
