#include "gateway/requests/upstream_picker.h"

#include "gateway/requests/request_wait.h"
#include "policy/requests/admission_wait.h"
#include <algorithm>

namespace rampgap {

namespace {

    constexpr milliseconds noBackendRetryAfter { 300 };
    // The arbiter of a server's limit answers within a round trip or two between zones.
    constexpr milliseconds maxGrantWait { 60 };
    constexpr milliseconds grantPoll { 5 };
    // Random delay added to the backoff, so that callers do not all retry at once.
    constexpr milliseconds retryJitter { 300 };

} // namespace

upstream_picker::upstream_picker(process_context& context, decision_log& log, fleet_state& state, load_table& loads, group_directory& groups, server_backpressure& backpressure)
    : m_context(context)
    , m_log(log)
    , m_state(state)
    , m_loads(loads)
    , m_groups(groups)
    , m_backpressure(backpressure)
{
}

std::string upstream_picker::choose(const admitted_request& request, const attempted_servers& attempted) const
{
    const instant now = m_context.now();
    const upstream_input input { request.service, request.costs, request.parsed.promptTokens, attempted.all, attempted.silent, m_context.zone(), now, request.priority, request.route.gapTarget };
    return m_choice.choose(input, m_state.backends(), m_loads, m_groups, m_backpressure, m_context.random());
}

// Another request may use a grant while this one waits, so the grant is consumed without suspension
// after the server is chosen.
awaitable<std::string> upstream_picker::pick(http_exchange& exchange, const admitted_request& request, const attempted_servers& attempted)
{
    std::vector<server_hash> servers;
    if (m_backpressure.limits.any()) {
        servers = serversOf(request.service);
        // Grants are asked for a few servers only: the VMs ask for different ones.
        std::shuffle(servers.begin(), servers.end(), m_context.random());
    }
    m_backpressure.limits.requestGrants(request.service, servers, request.priority, m_context.now());
    const instant until = m_context.now() + maxGrantWait;
    std::string id = choose(request, attempted);
    while (id.empty() && m_context.now() < until && isAwaitingGrant(servers) && !exchange.callerGone()) {
        std::function<bool()> missing = [this, &servers] { return isAwaitingGrant(servers); };
        co_await waitWhile(m_context, exchange, std::move(missing), until, grantPoll);
        id = choose(request, attempted);
    }
    if (!id.empty())
        m_backpressure.recordSent(backendHash(id), m_context.now());
    co_return id;
}

std::vector<server_hash> upstream_picker::serversOf(const std::string& service) const
{
    std::vector<server_hash> servers;
    for (const auto& id : m_state.backends().pool(service))
        servers.push_back(backendHash(id));
    return servers;
}

bool upstream_picker::isAwaitingGrant(const std::vector<server_hash>& servers) const
{
    return std::any_of(servers.begin(), servers.end(), [&](server_hash server) { return m_backpressure.limits.awaitsAnswer(server, m_context.now()); });
}

// Callers are not held for servers that are known to accept nothing. They are told to retry shortly
// after the first backoff ends, each with its own random delay, so that they do not arrive together.
std::optional<failure> upstream_picker::backoffFailure(const admitted_request& request)
{
    if (!m_backpressure.backoffs.any())
        return std::nullopt;
    const instant now = m_context.now();
    const auto pause = m_backpressure.backoffs.untilFirst(serversOf(request.service), now);
    if (!pause)
        return std::nullopt;
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_context.random());
    const auto spread = std::chrono::duration_cast<milliseconds>(retryJitter * draw);
    return notRun(failure_reason::queue_full, "all servers of the service asked to back off", *pause + spread);
}

// Refused callers are given random pauses, so that they retry one after the other as servers free up.
failure upstream_picker::unavailableFailure(const admitted_request& request)
{
    if (auto refused = backoffFailure(request))
        return *refused;
    const instant now = m_context.now();
    const auto servers = serversOf(request.service);
    const bool limited = std::any_of(servers.begin(), servers.end(), [&](server_hash server) { return m_backpressure.limits.limitOf(server, now).has_value(); });
    if (!limited)
        return notRun(failure_reason::no_backend, "no backend server is listed for the service", noBackendRetryAfter);
    m_backpressure.limits.recordUnserved(request.priority, now);
    const double draw = std::uniform_real_distribution<double>(0, 1)(m_context.random());
    return notRun(failure_reason::queue_full, "the service's servers accept no more requests now", backlogRetryDelay(request.timeLeft(now), draw));
}

// The notice is ignored if the reply came from another server or was no answer.
void upstream_picker::applyNotice(const listed_backend& backend, reply_kind kind, const server_notice& notice)
{
    if (kind != reply_kind::answer && kind != reply_kind::not_executed)
        return;
    const instant now = m_context.now();
    const server_hash server = backendHash(backend.id);
    if (notice.leaving && m_state.backends().recordLeaving(backend.id, now))
        m_log.line("backend_leaving").add("backend", backend.id).add("source", "answer");
    if (notice.backoff)
        m_backpressure.backoffs.recordBackoff(server, *notice.backoff, now);
    else
        m_backpressure.backoffs.recordAnswered(server, now);
    const auto before = m_backpressure.limits.reportOf(server, now);
    const bool wasLimited = before && before->perSecond;
    m_backpressure.limits.recordAnswer(server, notice.limitPerSecond, now);
    if (wasLimited != notice.limitPerSecond.has_value())
        m_log.line("server_limit").add("backend", backend.id).add("backend_hash", server).add("limit_per_s", notice.limitPerSecond.value_or(-1)).add("source", "answer");
}

} // namespace rampgap
