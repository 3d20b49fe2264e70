// Which servers limit the rate of their requests, by what they report or since they are cold, and the grants of this
// process to send to them.
#pragma once

#include "policy/common/verdict.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace rampgap {

// backendHash of a server's id.
using server_hash = std::uint32_t;

// The limit that a server reported last.
struct reported_limit {
    // Requests per second from all entry VMs together; empty: the server has no limit any more.
    std::optional<double> perSecond;
    instant reportedAt;

    bool operator==(const reported_limit&) const = default;
};

using reported_limits = std::vector<std::pair<server_hash, reported_limit>>;

// Asks the arbiter of a server's limit for grants.
struct grant_question {
    server_hash server = 0;
    int wanted = 1;
    // Priority of the most urgent request that needs a grant; 0 is the most urgent.
    int priority = 0;

    bool operator==(const grant_question&) const = default;
};

struct grant_answer {
    server_hash server = 0;
    // Requests that may be sent within `grantLifetime`.
    int granted = 0;
    // Time after which to ask again. Asking sooner is of no use.
    milliseconds askAgain { 0 };

    bool operator==(const grant_answer&) const = default;
};

// A lower limit is raised to this one: only further requests can show that the limit has ended.
inline constexpr double minPerSecond = 0.1;
// A grant expires after this time, so that no process keeps grants that it has no requests for.
inline constexpr milliseconds grantLifetime { 1'000 };

// A process sends a request to a server with a limit only if it has a grant for it. All grants come from
// one entry VM, the server's arbiter, so that together they stay within the limit.
class server_limits {
public:
    // An answer of the server reported this limit, or none.
    void recordAnswer(server_hash, std::optional<double> perSecond, instant now);
    // Merges a report from a peer. Ignored if a newer one is known.
    void mergeReport(server_hash, reported_limit, instant now);
    // Until then the server is cold: it crashes if all entry VMs together send it clearly more than `perSecond`.
    void recordCold(server_hash, double perSecond, instant until);
    // The server was restarted: what it reported before does not apply any more.
    void forget(server_hash, instant now);
    // Requests per second that grants are given for; empty if the server has no limit, as far as is known.
    std::optional<double> limitOf(server_hash, instant now) const;
    // The server's latest report; empty if there is none or it is too old.
    std::optional<reported_limit> reportOf(server_hash, instant now) const;
    // True if a limit of any server is stored.
    bool any() const { return !m_reports.empty() || !m_cold.empty(); }
    // Reports whose limit changed within the last second: they are sent to the peers.
    reported_limits recentChanges(instant now) const;
    // At most `count` of the limits that apply now, for a process that has just started.
    reported_limits currentLimits(std::size_t count, instant now) const;

    // A request of this priority is to be sent to one of these servers of a service: asks for grants for
    // a few servers with a limit for which there are none, the first ones first.
    void requestGrants(const std::string& service, const std::vector<server_hash>&, int priority, instant now);
    // A request was sent to no server since there was no grant for one.
    void recordUnserved(int priority, instant now);
    bool maySend(server_hash, int priority, instant now) const;
    // Uses up a grant if the server has a limit.
    void useGrant(server_hash, instant now);
    // True while the answer to a question for grants is expected.
    bool awaitsAnswer(server_hash, instant now) const;
    void recordGranted(const grant_answer&, instant now);
    // Called when there are questions to be sent.
    void onGrantQuestions(std::function<void()> action) { m_onQuestions = std::move(action); }
    std::vector<grant_question> takeQuestions();

private:
    // Grants for one server.
    struct grant_account {
        // When each grant expires, the earliest first.
        std::deque<instant> grants;
        std::optional<instant> askedAt;
        instant askAgainAt {};
    };

    void store(server_hash, const reported_limit&, instant now);
    // Counts a request. The number of requests for the service in the last second, this one included.
    int countRequest(const std::string& service, instant now);
    // True if a question was made: none is pending, and the arbiter may be asked again.
    bool askForGrants(server_hash, int wanted, int priority, instant now);
    void expire(instant now);
    bool moreUrgentUnserved(int priority, instant now) const;

    struct stored_report {
        reported_limit report;
        // When the reported limit last changed; empty: never.
        std::optional<instant> changedAt;
    };

    // What a cold server accepts.
    struct cold_limit {
        double perSecond = 0;
        instant until;
    };

    std::map<server_hash, stored_report> m_reports;
    std::map<server_hash, cold_limit> m_cold;
    // When servers were restarted; reports from before that are of an earlier incarnation.
    std::map<server_hash, instant> m_forgottenAt;
    std::map<server_hash, grant_account> m_accounts;
    std::map<std::string, std::deque<instant>> m_requests;
    // When a request of each priority was last sent to no server.
    std::map<int, instant> m_unservedAt;
    std::vector<grant_question> m_questions;
    std::function<void()> m_onQuestions;
};

} // namespace rampgap
