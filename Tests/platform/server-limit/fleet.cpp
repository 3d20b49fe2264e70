// A whole fleet of entry VMs that send to one server with a limit: they stay within the limit and use it, and
// the arbiter is not asked too often.
#include "policy/limits/limit_arbiter.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>

using namespace rampgap;

namespace {

constexpr server_hash server = 7;
constexpr int usual = 2;
constexpr int lengthMs = 30'000;
// In this time entry VMs learn of the limit and ask for the first time.
constexpr int settledMs = 5'000;
// The window over which users count requests, and how many may come in one.
constexpr milliseconds window { 4'000 };
constexpr double excess = 1.5;
constexpr double allowance = 5;
constexpr double leastUsed = 0.5;
// Questions per second that an arbiter may get from a whole fleet for one server.
constexpr double mostQuestionsPerSecond = 25;

const instant zero { std::chrono::hours(1) };

class fleet {
public:
    fleet(std::size_t entries, double limit)
        : m_limit(limit)
        , m_entries(entries)
        , m_random(1)
    {
    }

    // `demand`: requests per second that would go to the server.
    void run(double demand)
    {
        for (auto& entry : m_entries)
            entry.recordAnswer(server, m_limit, zero);
        std::exponential_distribution<double> pause(demand / 1'000);
        for (double now = 0; now < lengthMs; now += pause(m_random))
            request(zero + milliseconds(static_cast<int>(now)));
    }

    // The largest number of requests in any window.
    int most() const
    {
        std::ptrdiff_t most = 0;
        for (auto begin = m_arrivals.begin(); begin != m_arrivals.end(); ++begin)
            most = std::max(most, std::lower_bound(begin, m_arrivals.end(), *begin + window) - begin);
        return static_cast<int>(most);
    }

    double usedPerSecond() const { return 1'000.0 * static_cast<double>(m_arrivals.size()) / lengthMs; }
    double questionsPerSecond() const { return 1'000.0 * m_questions / (lengthMs - settledMs); }

private:
    // Half of the requests arrive at a tenth of the entry VMs.
    std::size_t drawEntry()
    {
        const std::size_t few = std::max<std::size_t>(1, m_entries.size() / 10);
        const std::size_t among = std::bernoulli_distribution(0.5)(m_random) ? few : m_entries.size();
        return std::uniform_int_distribution<std::size_t>(0, among - 1)(m_random);
    }

    void request(instant now)
    {
        const std::size_t index = drawEntry();
        server_limits& limits = m_entries[index];
        limits.requestGrants("model", { server }, usual, now);
        for (const auto& question : limits.takeQuestions()) {
            m_questions += now - zero >= milliseconds(settledMs) ? 1 : 0;
            limits.recordGranted(m_arbiter.answer(std::to_string(index), question, m_limit, now), now);
        }
        if (!limits.maySend(server, usual, now))
            return;
        limits.useGrant(server, now);
        for (auto& entry : m_entries)
            entry.mergeReport(server, { m_limit, now }, now);
        m_arrivals.push_back(now);
    }

    double m_limit;
    std::vector<server_limits> m_entries;
    limit_arbiter m_arbiter;
    std::vector<instant> m_arrivals;
    int m_questions = 0;
    std::mt19937_64 m_random;
};

} // namespace

TEST_CASE("fleets of 7, 149 and 390 entry VMs stay within a limit and use it")
{
    for (const std::size_t entries : { 7, 149, 390 }) {
        for (const double limit : { 1.0, 4.0, 12.0 }) {
            fleet made(entries, limit);
            made.run(4 * limit);
            CAPTURE(entries);
            CAPTURE(limit);
            CHECK(made.most() <= excess * limit * 4 + allowance);
            CHECK(made.usedPerSecond() >= leastUsed * limit);
            CHECK(made.questionsPerSecond() <= mostQuestionsPerSecond);
        }
    }
}
