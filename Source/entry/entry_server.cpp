#include "entry/entry_server.h"

#include "daemon/boot_timer.h"
#include "daemon/graceful_stop.h"
#include "daemon/header_names.h"
#include "daemon/log.h"
#include "daemon/scope_exit.h"
#include "daemon/sleep.h"
#include "daemon/task.h"
#include "discovery/platform_source.h"
#include "peer.pb.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr milliseconds pauseLook { 100 };
    constexpr milliseconds notReadyRetryAfter { 1'000 };
    constexpr milliseconds revisionPatience { 500 };
    constexpr milliseconds pollPause { 10 };

} // namespace

result<std::unique_ptr<entry_server>> entry_server::start(process_context& context, entry_settings settings)
{
    auto routing = routing_policy::make(settings.routing);
    if (!routing)
        return routing.error();
    std::unique_ptr<entry_server> made(new entry_server(context, std::move(settings), std::move(routing.value())));
    auto http = http_server::listen(context, made->m_settings.process.listen, made->m_settings.process.limits, *made);
    if (!http)
        return http.error();
    made->m_http = std::move(http.value());
    auto peer = peer_server::listen(context, made->m_settings.process.peerListen, *made);
    if (!peer)
        return peer.error();
    made->m_peerServer = std::move(peer.value());
    const std::string host = hostOf(made->m_settings.process.peerListen);
    made->m_history.setIsolatedAttemptFilter([raw = made.get()](request_fingerprint request) { return raw->m_configuration.isResponsibleEntry(toString(request)); });
    made->m_configuration.start(host + ":" + std::to_string(made->peerPort()));
    startLoop(context, "watch_pauses", [raw = made.get()] { return raw->watchForPauses(); });
    return made;
}

entry_server::entry_server(process_context& context, entry_settings settings, std::unique_ptr<routing_policy> routing)
    : m_context(context)
    , m_settings(std::move(settings))
    , m_client(context)
    , m_peers(context)
    , m_platform(platform_source::makeHttp(context, m_client, m_settings.process.platform))
    , m_configuration(context, m_settings.process, *m_platform, m_peers, m_history, *this)
    , m_pages(context, m_settings.process, m_configuration)
    , m_pauses(context.now(), std::chrono::system_clock::now())
    , m_dispatcher(context, m_client, m_configuration, m_history, std::move(routing), m_pauses)
{
}

entry_server::~entry_server() = default;

void entry_server::onDeclaration(std::shared_ptr<const declaration> current)
{
    const bool first = !m_fleet;
    m_dispatcher.apply(*current);
    m_fleet = fleet_snapshot::make(std::move(current));
    if (first)
        m_context.recordEvent(event_kind::ready, "", "");
}

void entry_server::onVmList(const vm_list& list)
{
    std::vector<std::string> leaving;
    int liveEntries = 0;
    for (const auto& vm : list.vms) {
        if (vm.role == vm_role::agent && vm.state == vm_state::leaving)
            leaving.push_back(vm.name);
        liveEntries += vm.role == vm_role::entry && vm.state == vm_state::live ? 1 : 0;
    }
    m_dispatcher.recordListedLeaving(leaving);
    // The platform's balancer spreads callers evenly over the live entry VMs.
    m_limiter.setShare(1.0 / std::max(1, liveEntries));
}

awaitable<wire::ExchangeReply> entry_server::onExchange(wire::ExchangeRequest request)
{
    return m_configuration.onExchange(std::move(request));
}

awaitable<void> entry_server::watchForPauses()
{
    for (;;) {
        co_await sleepFor(m_context.io(), pauseLook);
        lookForPause();
    }
}

// After a pause, whatever was sent to this process during it is old: its callers may have
// come back elsewhere long ago. Such connections are dropped unread.
bool entry_server::lookForPause()
{
    const bool paused = m_pauses.check(m_context.now(), std::chrono::system_clock::now());
    if (!paused && !m_dispatcher.takePauseSign())
        return false;
    m_context.counters().add(metric::pauses_detected);
    m_context.recordEvent(event_kind::paused, "", "");
    logWarning("paused", "action=drop_unread_connections");
    m_dispatcher.dropPermits();
    m_http->dropUnread();
    return true;
}

awaitable<void> entry_server::handle(http_exchange& exchange)
{
    const bool paused = lookForPause();
    if (auto page = m_pages.answer(exchange.request())) {
        co_await exchange.send(std::move(*page));
        co_return;
    }
    if (paused) {
        exchange.abort();
        co_await refuse(exchange, notRun(failure_reason::stale_permit, "this entry VM was paused", notReadyRetryAfter), "");
        exchange.abort();
        co_return;
    }
    ++m_inFlight;
    m_context.counters().set(metric::in_flight, m_inFlight);
    const scope_exit ended(m_context, [this] {
        --m_inFlight;
        m_context.counters().set(metric::in_flight, m_inFlight);
    });
    co_await serveCaller(exchange);
}

awaitable<void> entry_server::refuse(http_exchange& exchange, const failure& refused, const std::string& correlation)
{
    m_context.counters().countFailure(refused);
    auto response = makeFailure(refused);
    if (!correlation.empty())
        response.set(header::requestId, correlation);
    co_await exchange.send(std::move(response));
}

awaitable<void> entry_server::serveCaller(http_exchange& exchange)
{
    m_context.counters().add(metric::requests_received);
    const std::uint64_t pauseEpoch = m_pauses.epoch();
    const std::string correlation = m_context.name() + "-" + std::to_string(m_context.incarnation() % 1'000'000) + "-" + std::to_string(m_nextRequest++);
    if (m_refusing || !m_configuration.ready() || !m_fleet) {
        const auto reason = m_refusing ? failure_reason::leaving : failure_reason::not_ready;
        co_await refuse(exchange, notRun(reason, m_refusing ? "this entry VM is leaving" : "no configuration is in force here yet", notReadyRetryAfter), correlation);
        co_return;
    }
    const auto seen = static_cast<std::uint64_t>(headerNumber(exchange.request(), header::revisionSeen, 0));
    if (seen > m_fleet->revision() && !co_await waitForRevision(seen, m_context.now() + revisionPatience)) {
        co_await refuse(exchange, notRun(failure_reason::stale_revision, "this entry VM has not yet the revision that the caller has seen", notReadyRetryAfter), correlation);
        co_return;
    }
    auto request = caller_request::make(exchange.request(), m_fleet, exchange.receivedAt(), correlation);
    if (!request) {
        co_await refuse(exchange, request.error(), correlation);
        co_return;
    }
    request.value().pauseEpoch = pauseEpoch;
    const caller_request& made = request.value();
    if (const auto barred = m_history.refuse({ made.fingerprint, false, false, made.parts }, m_context.now())) {
        co_await refuse(exchange, *barred, made.correlation);
        co_return;
    }
    const auto entered = m_limiter.enter(*made.workspace, m_context.now());
    if (!entered) {
        co_await refuse(exchange, entered.error(), made.correlation);
        co_return;
    }
    const scope_exit left(m_context, [this, &made] { m_limiter.leave(made.workspace->name); });
    m_context.recordEvent(event_kind::request_received, made.correlation, "workspace=" + made.workspace->name + " service=" + made.service->name);
    const std::string session = made.session.empty() ? "" : made.workspace->name + '\n' + made.session;
    if (session.empty()) {
        co_await m_dispatcher.dispatch(exchange, made);
    } else if (co_await enterSession(session, made.deadline)) {
        const scope_exit turnEnded(m_context, [this, &session] { leaveSession(session); });
        co_await m_dispatcher.dispatch(exchange, made);
    } else {
        co_await refuse(exchange, notRun(failure_reason::deadline, "earlier requests of the session took until the deadline", notReadyRetryAfter), made.correlation);
    }
    if (exchange.begun() && !exchange.callerGone())
        m_context.counters().add(metric::requests_answered);
}

awaitable<bool> entry_server::waitForRevision(std::uint64_t revision, instant deadline)
{
    while (m_fleet->revision() < revision && m_context.now() < deadline)
        co_await sleepFor(m_context.io(), pollPause);
    co_return m_fleet->revision() >= revision;
}

// True when it is this request's turn; false if the deadline came first.
awaitable<bool> entry_server::enterSession(std::string session, instant deadline)
{
    auto turn = std::make_shared<boot_timer>(m_context.io(), deadline);
    m_sessions[session].push_back(turn);
    if (m_sessions[session].size() > 1)
        co_await turn->async_wait(asio::as_tuple(asio::use_awaitable));
    auto& waiting = m_sessions[session];
    if (waiting.front() == turn)
        co_return true;
    std::erase(waiting, turn);
    co_return false;
}

void entry_server::leaveSession(const std::string& session)
{
    auto& waiting = m_sessions[session];
    waiting.pop_front();
    if (waiting.empty())
        m_sessions.erase(session);
    else
        waiting.front()->cancel();
}

void entry_server::leave()
{
    if (std::exchange(m_leaving, true))
        return;
    m_pages.setLeaving();
    m_context.recordEvent(event_kind::leaving, "", "");
    logStateChange("leaving", "");
    startTask(m_context, "leave", leaveGracefully());
}

// The balancer needs a moment to see that this VM is not ready; until then all is served.
awaitable<void> entry_server::leaveGracefully()
{
    const scope_exit stopped(m_context, [this] { m_context.io().stop(); });
    co_await sleepFor(m_context.io(), m_settings.process.linger);
    m_refusing = true;
    std::function<int()> inFlight = [this] { return m_inFlight; };
    std::optional<http_response> noNotice;
    co_await drainConnections(m_context, *m_http, std::move(inFlight), std::move(noNotice));
    logStateChange("stopped", "");
}

} // namespace rampgap
