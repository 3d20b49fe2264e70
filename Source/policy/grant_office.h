// Grants of the arbiter of servers' limits: the one entry VM that all others ask for a server.
#pragma once

#include "policy/server_limits.h"
#include "policy/token_bucket.h"

namespace rampgap {

class grant_office {
public:
    // Entry VMs that this one knows, itself included.
    void noteFleet(std::size_t entries, instant now);
    // `perSecond`: the limit that the server named.
    grant_answer answer(const std::string& asker, const grant_question&, double perSecond, instant now);

private:
    // What one server takes.
    struct bucket {
        token_bucket tokens;
        std::map<std::string, instant> askers;
        // When a question of this priority was last left without a grant.
        std::map<int, instant> denied;
    };

    // Of the fleet, the part that this VM sees.
    double part() const;
    milliseconds pause(instant now);
    static bool moreUrgentDenied(const bucket&, int priority, instant now);

    std::map<server_hash, bucket> m_buckets;
    std::size_t m_entries = 1;
    std::size_t m_mostEntries = 1;
    instant m_mostSeenAt {};
};

} // namespace rampgap
