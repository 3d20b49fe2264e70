// Guards against drowning servers that have just started: a cold server crashes if all entry VMs together send it clearly
// more requests in a second than it accepts, and each VM sees only its own.
#include "gateway/fleet/fleet_state.h"
#include "platform/item_decoder.h"
#include "policy/limits/limit_arbiter.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <random>
#include <unistd.h>

using namespace rampgap;

namespace {

constexpr int usual = 2;
constexpr int coldMs = 6'000;
constexpr milliseconds window { 1'000 };
// By the users' rule: a cold server may get this many times its rate in a second, and a few more.
constexpr double overage = 1.5;
constexpr double tolerance = 5;
// Queries of one VM for one request.
constexpr std::size_t maxQueries = 8;
const instant zero { std::chrono::hours(1) };

instant at(double ms) { return zero + milliseconds(static_cast<int>(ms)); }

// A zone of servers that all return cold, and entry VMs that have nowhere else to send to.
class cold_zone {
public:
    cold_zone(std::size_t entries, std::size_t servers, double perSecond)
        : m_entries(entries)
        , m_arrivals(servers)
        , m_perSecond(perSecond)
    {
        for (auto& entry : m_entries) {
            for (std::size_t server = 0; server < servers; ++server)
                entry.recordCold(static_cast<server_hash>(server), perSecond, at(coldMs));
        }
    }

    // `demand`: requests per second of all VMs together.
    void run(double demand)
    {
        std::exponential_distribution<double> pause(demand / 1'000);
        for (double now = 0; now < coldMs; now += pause(m_random))
            request(at(now));
    }

    // The largest number of requests that any server got in one window.
    std::size_t most() const
    {
        std::size_t most = 0;
        for (const auto& arrivals : m_arrivals) {
            for (auto begin = arrivals.begin(); begin != arrivals.end(); ++begin)
                most = std::max(most, static_cast<std::size_t>(std::lower_bound(begin, arrivals.end(), *begin + window) - begin));
        }
        return most;
    }

    double servedShare() const { return static_cast<double>(m_served) / m_requests; }
    std::size_t mostQueries() const { return m_mostQueries; }

private:
    void request(instant now)
    {
        ++m_requests;
        const std::size_t index = std::uniform_int_distribution<std::size_t>(0, m_entries.size() - 1)(m_random);
        server_limits& limits = m_entries[index];
        std::vector<server_hash> servers(m_arrivals.size());
        for (std::size_t server = 0; server < servers.size(); ++server)
            servers[server] = static_cast<server_hash>(server);
        std::shuffle(servers.begin(), servers.end(), m_random);
        limits.requestGrants("model", servers, usual, now);
        const auto questions = limits.takeQuestions();
        m_mostQueries = std::max(m_mostQueries, questions.size());
        for (const auto& question : questions)
            limits.recordGranted(m_arbiters[question.server].answer(std::to_string(index), question, *limits.limitOf(question.server, now), now), now);
        const auto free = std::find_if(servers.begin(), servers.end(), [&](server_hash server) { return limits.maySend(server, usual, now); });
        if (free == servers.end())
            return;
        limits.useGrant(*free, now);
        m_arrivals[*free].push_back(now);
        ++m_served;
    }

    std::vector<server_limits> m_entries;
    std::map<server_hash, limit_arbiter> m_arbiters;
    std::vector<std::vector<instant>> m_arrivals;
    double m_perSecond;
    int m_requests = 0;
    int m_served = 0;
    std::size_t m_mostQueries = 0;
    std::mt19937_64 m_random { 1 };
};

listed_backend decoded(const std::string& coldFor)
{
    const platform::item_decoder decoder;
    const std::string value = R"({"service":"m","address":"10.0.0.1:80","zone":"a","version":"v1","capacity":4,"state":"ready","cold_remaining_ms":)" + coldFor + R"(,"sequence":1})";
    const auto backend = decoder.backend({ "servers/i1", value, 2, 2 });
    REQUIRE(backend);
    return backend.value();
}

} // namespace

TEST_CASE("servers that return cold get as much as they accept and no more, however many VMs there are")
{
    for (const std::size_t entries : { 4, 43, 531 }) {
        for (const std::size_t servers : { 1, 24, 100 }) {
            for (const double perSecond : { 1.0, 23.0 }) {
                CAPTURE(entries);
                CAPTURE(servers);
                CAPTURE(perSecond);
                cold_zone zone(entries, servers, perSecond);
                zone.run(4 * perSecond * static_cast<double>(std::min<std::size_t>(servers, 8)));
                CHECK(static_cast<double>(zone.most()) <= overage * perSecond + tolerance);
                CHECK(zone.mostQueries() <= maxQueries);
            }
        }
    }
}

TEST_CASE("cold servers are warmed up by a good part of what they accept")
{
    cold_zone zone(43, 24, 26);
    zone.run(240);
    CHECK(zone.servedShare() > 0.5);
}

TEST_CASE("a server that is cold accepts requests by grants only, until it is warm or another limit is lower")
{
    server_limits limits;
    limits.recordCold(7, 20, at(3'000));
    CHECK(limits.any());
    CHECK_FALSE(limits.maySend(7, usual, at(0)));
    CHECK(limits.maySend(8, usual, at(0)));
    CHECK(limits.limitOf(7, at(0)) == 10.0);
    limits.recordAnswer(7, 2.0, at(100));
    CHECK(limits.limitOf(7, at(200)) == 2.0);
    // An answer that reports no limit does not make the server warm.
    limits.recordAnswer(7, std::nullopt, at(300));
    CHECK(limits.limitOf(7, at(400)) == 10.0);
    CHECK(limits.currentLimits(8, at(400)).empty());
    CHECK(limits.maySend(7, usual, at(3'000)));
    // It may turn cold again at any moment.
    limits.recordCold(7, 20, at(9'000));
    CHECK_FALSE(limits.maySend(7, usual, at(6'000)));
    limits.forget(7, at(6'100));
    CHECK(limits.maySend(7, usual, at(6'100)));
}

TEST_CASE("how long a server stays cold is read from its entry")
{
    CHECK(decoded("0").coldFor == milliseconds(0));
    CHECK(decoded("2500").coldFor == milliseconds(2'500));
    CHECK(decoded("2500.7").coldFor == milliseconds(2'500));
    CHECK(decoded("-3").coldFor == milliseconds(0));
    CHECK(decoded("1e300").coldFor == std::chrono::minutes(10));
    const platform::item_decoder decoder;
    const auto configuration = decoder.configuration(R"({"version":1,"routes":[],"services":[{"name":"m","health_path":"/h","cold_per_s":23.5},{"name":"n","health_path":"/h"}]})");
    REQUIRE(configuration);
    CHECK(configuration.value()->findService("m")->coldRequestsPerSecond == 23.5);
    CHECK(configuration.value()->findService("n")->coldRequestsPerSecond == 0);
}

TEST_CASE("an entry that turns cold is announced, also without a restart")
{
    process_context context { "entry", "a", "entry" };
    decision_log log { "entry", STDERR_FILENO };
    const platform::item_decoder decoder;
    fleet_state state { context, log, decoder, milliseconds(0) };
    std::vector<milliseconds> cold;
    state.onListed([&cold](const listed_backend& backend) { cold.push_back(backend.coldFor); });
    const auto list = [&](const std::string& coldFor, store_revision revision) {
        const std::string value = R"({"service":"m","address":"10.0.0.1:80","zone":"a","version":"v1","capacity":4,"state":"ready","cold_remaining_ms":)" + coldFor + R"(,"sequence":1})";
        state.applySnapshot(published_snapshot { { { "servers/i1", value, revision, 2 } }, revision, 1 }, context.now());
    };
    list("0", 2);
    list("3000", 3);
    CHECK(cold == std::vector<milliseconds> { milliseconds(0), milliseconds(3'000) });
}
