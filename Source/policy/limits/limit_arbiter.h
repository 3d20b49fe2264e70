// Grants requests to servers with a limit. One entry VM is the arbiter of a server, and all others ask it for grants.
#pragma once

#include "policy/limits/server_limits.h"
#include "policy/limits/token_bucket.h"

namespace rampgap {

class limit_arbiter {
public:
    // `entries`: the number of entry VMs that this one knows, itself included.
    void recordFleetSize(std::size_t entries, instant now);
    // Answers a question for grants. `perSecond`: the limit that the server named.
    grant_answer answer(const std::string& requester, const grant_question&, double perSecond, instant now);

private:
    // Tokens and requesters of one server.
    struct bucket {
        token_bucket tokens;
        // The rate of the tokens.
        double perSecond = 0;
        std::map<std::string, instant> requesters;
        // When a question of each priority was last answered without a grant.
        std::map<int, instant> deniedAt;
    };

    // The fraction of the fleet that this VM knows of.
    double visibleFraction() const;
    milliseconds askAgainDelay(instant now);
    static bool moreUrgentDenied(const bucket&, int priority, instant now);

    std::map<server_hash, bucket> m_buckets;
    std::size_t m_entries = 1;
    std::size_t m_maxEntries = 1;
    instant m_maxSeenAt {};
};

} // namespace rampgap
