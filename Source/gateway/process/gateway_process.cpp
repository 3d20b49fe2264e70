#include "gateway/process/gateway_process.h"

#include "daemon/scope_exit.h"
#include "daemon/sleep.h"
#include "daemon/task.h"
#include "policy/configuration/store_reading.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // How far an answered read of the store may lag: by the users' list of faults a watch may miss
    // changes for a second, and clocks are read a moment apart.
    constexpr milliseconds readingMargin { 1'400 };
    // Each answered watch renews the freshness, which must stay below the bound of five seconds for
    // revoked keys; shorter waits would cost more calls, and each call has its price.
    constexpr milliseconds watchWait { 800 };
    constexpr milliseconds peerTimeout { 3'000 };
    // A process with an older state reports not ready, so that callers go to a fresher one.
    constexpr milliseconds maxReadyAge { 2'600 };
    constexpr milliseconds housekeepingInterval { 100 };
    constexpr milliseconds logFlushInterval { 50 };
    // The load balancer checks once per second and takes a VM out of rotation after two failures.
    constexpr milliseconds outOfRotationAfter { 2'600 };
    // Kept in reserve between our own exit and the kill.
    constexpr milliseconds stopMargin { 700 };
    constexpr milliseconds stopPoll { 20 };
    constexpr int ticksPerReload = 20;
    constexpr unsigned short metricsPort = 9'464;
    constexpr int maxFrontConnections = 3'000;
    // Parts of the process's memory that requests being read, and answers held back until they are complete, may take.
    constexpr std::size_t heldRequestsPart = 4;
    constexpr std::size_t heldAnswersPart = 16;
    constexpr double bytesPerMb = 1'000'000;
    // Added to the idle timeout of the configuration: a connection that is closed just as its caller sends
    // a request loses that request.
    constexpr milliseconds idleMargin { 1'000 };

    unsigned short portOf(const std::string& address)
    {
        const auto endpoint = parseEndpoint(address);
        return endpoint ? endpoint.value().port() : 0;
    }

    std::size_t memoryBytes(const gateway_settings& settings)
    {
        return static_cast<std::size_t>(settings.memoryMb * bytesPerMb);
    }

    peer_info selfOf(const process_context& context, const gateway_settings& settings)
    {
        return { settings.host, settings.zone, peer_role::entry, context.incarnation() };
    }

} // namespace

awaitable<void> flushLog(process_context& context, decision_log& log)
{
    for (;;) {
        log.flush();
        co_await sleepFor(context.io(), logFlushInterval);
    }
}

void logExceptions(process_context& context, decision_log& log)
{
    context.onException([&log](std::string_view task, std::string_view reason) { log.requestLine("task_failed").add("task", task).add("reason", reason); });
}

awaitable<void> page_handler::handle(http_exchange& exchange)
{
    const std::string target(exchange.request().target());
    const auto found = m_pages.find(target.substr(0, target.find('?')));
    if (found == m_pages.end())
        co_await exchange.send(makeResponse(404, "text/plain", "no such page\n"));
    else
        co_await exchange.send(found->second(exchange.request()));
}

gateway_process::gateway_process(process_context& context, decision_log& log, gateway_settings settings, platform_adapter adapter)
    : m_context(context)
    , m_log(log)
    , m_settings(std::move(settings))
    , m_adapter(std::move(adapter))
    , m_state(context, log, m_adapter.decoder, milliseconds(0))
    , m_loads(loadReportLifetime)
    , m_groups(groupUpdateLifetime)
    , m_dispatcher(context, log, m_adapter.codec, m_state, m_loads, m_groups, m_history, m_backpressure, m_settings.retries, memoryBytes(m_settings) / heldAnswersPart)
    , m_front(context, log, m_adapter.codec, m_state, m_dispatcher, freshness_rule(m_settings.strictRevocation, m_settings.revocationBound, readingMargin))
    , m_follower(context, log, m_adapter.source, m_state, watchWait)
    , m_signals(context.io(), SIGTERM, SIGINT, SIGHUP)
    , m_joinDelayDraw(std::uniform_real_distribution<double>(0, 1)(context.random()))
{
}

gateway_process::~gateway_process() = default;

result<std::unique_ptr<gateway_process>> gateway_process::start(process_context& context, decision_log& log, gateway_settings settings, platform_adapter adapter)
{
    std::unique_ptr<gateway_process> process(new gateway_process(context, log, std::move(settings), std::move(adapter)));
    logExceptions(context, log);
    process->addPages();
    const auto opened = process->openPorts();
    if (!opened)
        return opened.error();
    process->m_state.onConfiguration([raw = process.get()] { raw->applyLimits(); });
    process->m_state.onRestart([raw = process.get()](const listed_backend& backend) { raw->m_dispatcher.handleRestart(backend); });
    process->m_state.onListed([raw = process.get()](const listed_backend& backend) { raw->m_dispatcher.handleListed(backend); });
    process->m_backpressure.limits.onGrantQuestions([raw = process.get()] { raw->m_peers->requestGrants(); });
    process->m_dispatcher.onCrash([raw = process.get()] { raw->m_peers->publishCrashes(); });
    process->m_history.setIsolatedAttemptFilter([raw = process.get()](request_fingerprint request) { return raw->m_peers->peers().isResponsibleEntry(toString(request)); });
    process->m_follower.setShouldRead([raw = process.get()] { return raw->shouldReadStore(); });
    process->m_follower.setOtherReaders([raw = process.get()] { return !isReader(raw->m_peers->peers(), {}); });
    process->m_follower.setLongestPause([raw = process.get()] { return longestReadingPause(raw->m_peers->peers(), {}); });
    process->m_follower.onUpdate([raw = process.get()] { raw->m_peers->announceState(); });
    process->m_follower.start();
    process->m_peers->start();
    startLoop(context, "housekeeping", [raw = process.get()] { return raw->housekeeping(); });
    startLoop(context, "signals", [raw = process.get()] { return raw->watchSignals(); });
    startLoop(context, "log", [&context, &log] { return flushLog(context, log); });
    const auto& own = process->m_settings;
    log.line("started").add("role", "entry").add("zone", own.zone).add("front", own.frontAddress).add("control", own.controlAddress).add("incarnation", context.incarnation());
    return process;
}

void gateway_process::addPages()
{
    m_readinessPages.add(m_adapter.readinessPath, [this](const http_request&) {
        const bool isReady = ready();
        return makeResponse(isReady ? 200 : 503, "text/plain", isReady ? "ready\n" : "not ready\n");
    });
    m_controlPages.add(snapshotPath, [this](const http_request& request) {
        return m_peers->snapshots().makeAnswer(request);
    });
    m_metricsPages.add("/metrics", [this](const http_request&) {
        m_context.counters().set(metric::in_flight, m_front.inFlight());
        m_context.counters().set(metric::log_lines_dropped, static_cast<double>(m_log.dropped()));
        return makeResponse(200, "text/plain; version=0.0.4", m_context.counters().serialize());
    });
}

result<void> gateway_process::openPorts()
{
    http_limits frontLimits;
    frontLimits.maxConnections = maxFrontConnections;
    frontLimits.maxHeldBytes = memoryBytes(m_settings) / heldRequestsPart;
    const http_limits pageLimits;
    struct port_to_open {
        std::unique_ptr<http_server>& server;
        const std::string address;
        const http_limits& limits;
        http_handler& handler;
    };
    const port_to_open ports[] = {
        { m_frontPort, m_settings.frontAddress, frontLimits, m_front },
        { m_readinessPort, m_settings.readinessAddress, pageLimits, m_readinessPages },
        { m_controlPort, m_settings.controlAddress, pageLimits, m_controlPages },
        { m_metricsPort, m_settings.host + ":" + std::to_string(metricsPort), pageLimits, m_metricsPages },
    };
    for (const auto& port : ports) {
        auto opened = http_server::listen(m_context, port.address, port.limits, port.handler);
        if (!opened)
            return opened.error();
        port.server = std::move(opened.value());
    }
    peer_exchange_settings exchange;
    exchange.datagramPort = m_settings.firstPeerPort;
    exchange.controlPort = portOf(m_settings.controlAddress);
    auto peers = peer_exchange::open(m_context, m_log, m_state, m_loads, m_groups, m_history, m_backpressure.limits, peer_table(selfOf(m_context, m_settings), m_settings.seedHosts, peerTimeout), exchange);
    if (!peers)
        return peers.error();
    m_peers = std::move(peers.value());
    return boost::outcome_v2::success();
}

void gateway_process::applyLimits()
{
    const caller_limits& limits = m_state.configuration()->contents().limits;
    http_limits front;
    front.maxConnections = maxFrontConnections;
    front.maxHeaderBytes = limits.maxHeaderBytes;
    front.maxBodyBytes = limits.maxBodyBytes;
    front.idleTimeout = limits.idleTimeout + idleMargin;
    front.headerTimeout = limits.headerTimeout;
    m_frontPort->setLimits(front);
}

bool gateway_process::ready() const
{
    const auto age = m_state.freshnessAge();
    return !m_leaving && m_state.configuration() && age && *age < maxReadyAge;
}

bool gateway_process::shouldReadStore() const
{
    const reading_settings settings;
    if (!m_state.published().empty())
        return shouldRead(m_peers->peers(), m_state.freshnessAge(), settings);
    joining_process self;
    self.isSeed = std::find(m_settings.seedHosts.begin(), m_settings.seedHosts.end(), m_settings.host) != m_settings.seedHosts.end();
    self.sinceStart = std::chrono::duration_cast<milliseconds>(m_context.now() - m_context.startedAt());
    self.draw = m_joinDelayDraw;
    self.peersEmpty = m_peers->heardAllSeeds() && !m_peers->snapshots().anyPeerHasState();
    return shouldReadToJoin(self, settings);
}

void gateway_process::logReadiness()
{
    const bool isReady = ready();
    if (isReady == m_wasReady)
        return;
    m_wasReady = isReady;
    m_log.line(isReady ? "ready" : "not_ready").add("leaving", static_cast<int>(m_leaving)).add("version", m_state.configuration() ? m_state.configuration()->version() : 0).add("proof_age_ms", m_state.freshnessAge().value_or(milliseconds(-1)));
}

awaitable<void> gateway_process::housekeeping()
{
    for (int tick = 0;; ++tick) {
        co_await sleepFor(m_context.io(), housekeepingInterval);
        logReadiness();
        const peer_table& peers = m_peers->peers();
        m_dispatcher.runPeriodicWork();
        m_dispatcher.setEntryCounts(peers.count(peer_role::entry) + 1, peers.maxLiveEntries());
        if (tick % ticksPerReload == 0)
            reload();
    }
}

// Called periodically and on SIGHUP, since the settings file may change without a signal.
void gateway_process::reload()
{
    const auto fresh = m_adapter.reloadSettings();
    if (!fresh) {
        m_log.line("reload_refused").add("reason", fresh.error().message).add("outcome", "kept the last settings");
        return;
    }
    if (fresh.value() == m_settings)
        return;
    m_settings = fresh.value();
    m_peers->setSeeds(m_settings.seedHosts);
    m_log.line("reloaded").add("seeds", m_settings.seedHosts.size());
}

awaitable<void> gateway_process::watchSignals()
{
    for (;;) {
        const auto [error, number] = co_await m_signals.async_wait(asTuple);
        if (error)
            co_return;
        if (number == SIGHUP) {
            m_log.line("reload_asked").add("signal", "SIGHUP");
            reload();
            continue;
        }
        if (m_leaving)
            continue;
        m_log.line("stopping").add("signal", number).add("in_flight", m_front.inFlight());
        m_leaving = true;
        startTask(m_context, "graceful_stop", stopGracefully());
    }
}

// The readiness check fails at once. The process goes on serving until the load balancer sends no more
// callers. Then it closes each connection after its answer, and stops after the last one.
awaitable<void> gateway_process::stopGracefully()
{
    // Also if something fails on the way: a process that was told to stop must not go on unready.
    const scope_exit stopped(m_context, [this] { m_context.io().stop(); });
    const instant killAt = m_context.now() + m_settings.stopGrace - stopMargin;
    logReadiness();
    m_peers->announceLeaving();
    // Callers that are answered from now on reconnect through the load balancer, soon to another VM.
    m_frontPort->announceClose();
    co_await sleepFor(m_context.io(), outOfRotationAfter);
    m_frontPort->drain();
    while (m_context.now() < killAt && (m_front.inFlight() > 0 || m_frontPort->openConnections() > 0))
        co_await sleepFor(m_context.io(), stopPoll);
    m_log.line("stopped").add("in_flight", m_front.inFlight());
    m_log.flush();
}

} // namespace rampgap
