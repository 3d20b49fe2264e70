// Which servers limit the requests that they take, and the grants of this process to send to them.
#pragma once

#include "policy/verdict.h"

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

// What a server last said about its limit.
struct limit_word {
    // Requests a second from all entry VMs together; empty: it names no limit any more.
    std::optional<double> perSecond;
    instant saidAt;

    bool operator==(const limit_word&) const = default;
};

using limit_words = std::vector<std::pair<server_hash, limit_word>>;

// Asks the arbiter of a server's limit for grants.
struct grant_question {
    server_hash server = 0;
    int wanted = 1;
    // Of the most urgent request that wants one; 0 is first.
    int priority = 0;

    bool operator==(const grant_question&) const = default;
};

struct grant_answer {
    server_hash server = 0;
    // Requests that may be sent within `grantLife`.
    int granted = 0;
    // Asking sooner is of no use.
    milliseconds askAgain { 0 };

    bool operator==(const grant_answer&) const = default;
};

// A lower limit is kept as this one: somebody has to find out that it has ended.
inline constexpr double leastPerSecond = 0.1;
// A grant that is not used by then is void, so that no process keeps what it has no use for.
inline constexpr milliseconds grantLife { 1'000 };

// A server with a limit gets a request only from who has a grant for it. Grants come from one
// entry VM, the server's arbiter, so that they keep within the limit whoever asks.
class server_limits {
public:
    // An answer of the server named this limit, or none.
    void noteAnswer(server_hash, std::optional<double> perSecond, instant now);
    // A peer heard this word. Ignored if a newer one is known.
    void noteTold(server_hash, limit_word, instant now);
    // The server was started again: nothing that it said holds any more.
    void forget(server_hash, instant now);
    // Empty if the server takes any number, as far as is known.
    std::optional<double> limitOf(server_hash, instant now) const;
    std::optional<limit_word> wordOf(server_hash, instant now) const;
    // True if any server has ever named a limit, as far as is remembered.
    bool any() const { return !m_words.empty(); }
    // Words that have changed a short while ago, for the peers.
    limit_words news(instant now) const;
    // All words, for a process that has just started; at most `count`.
    limit_words known(std::size_t count, instant now) const;

    // Notes that a request of this priority is to be sent to one of these servers of a service,
    // and asks for grants where there are none.
    void want(const std::string& service, const std::vector<server_hash>&, int priority, instant now);
    // A request found no server for want of a grant.
    void noteUnserved(int priority, instant now);
    bool maySend(server_hash, int priority, instant now) const;
    // Uses a grant, where the server has a limit.
    void use(server_hash, instant now);
    // True while an answer to the question for grants may still come.
    bool awaitsAnswer(server_hash, instant now) const;
    void noteGranted(const grant_answer&, instant now);
    // Called when there are questions to be sent.
    void onQuestions(std::function<void()> action) { m_onQuestions = std::move(action); }
    std::vector<grant_question> takeQuestions();

private:
    // Grants for one server.
    struct purse {
        // When each becomes void, the earliest first.
        std::deque<instant> grants;
        std::optional<instant> askedAt;
        instant askAgainAt {};
    };

    void note(server_hash, const limit_word&, instant now);
    // Requests for a service in the last second, this one included.
    int countRequest(const std::string& service, instant now);
    void ask(server_hash, int wanted, int priority, instant now);
    void forgetOld(instant now);
    bool moreUrgentUnserved(int priority, instant now) const;

    struct known_word {
        limit_word word;
        // When it changed what this process believes; empty: it never did.
        std::optional<instant> changedAt;
    };

    std::map<server_hash, known_word> m_words;
    // Words from before these moments are of an earlier life.
    std::map<server_hash, instant> m_forgotten;
    std::map<server_hash, purse> m_purses;
    std::map<std::string, std::deque<instant>> m_requests;
    // When requests of a priority last found no server.
    std::map<int, instant> m_unserved;
    std::vector<grant_question> m_questions;
    std::function<void()> m_onQuestions;
};

} // namespace rampgap
