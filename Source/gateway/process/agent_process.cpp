#include "gateway/process/agent_process.h"

#include "daemon/server_probe.h"
#include "daemon/sleep.h"
#include "daemon/task.h"
#include "gateway/groups/rank_wire.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // Short enough for entry VMs to learn that a group has closed before its ranks refuse callers.
    constexpr milliseconds enginePollInterval { 100 };
    constexpr milliseconds placementCheckInterval { 25 };
    // Between two checks whose group must be asked for.
    constexpr milliseconds queryCheckInterval { 250 };
    // Agents that are asked at a time whether a leader has called them.
    constexpr std::size_t agentsAskedForLeader = 3;
    // Holds that are shorter than this belong to most changes and are not logged.
    constexpr milliseconds minLoggedHold { 200 };
    // Minimum time between two reports of the ranks' loads to the entry VMs.
    constexpr milliseconds minLoadReportInterval { 95 };
    // Kept free for other work if a poll takes longer than the poll interval.
    constexpr milliseconds minPauseBetweenPolls { 25 };
    // Long, since an agent rarely hears from each entry VM; it needs only a few that answer.
    constexpr milliseconds peerTimeout { 15'000 };
    constexpr milliseconds peerReportInterval { 400 };
    // An agent admits no callers' requests, so it need not prove that its copy of the configuration is fresh. It has to ask for
    // the list of servers regularly all the same, since nobody announces changes of the list to agents.
    constexpr freshness_pace agentPace { milliseconds(0), milliseconds(250), milliseconds(250) };
    constexpr milliseconds distrustSourceAfter { 5'000 };
    // A group whose ranks were cut off opens 0.6 s after the cut, but their entries lapsed during
    // the cut and return up to 2 s later. Agents send no requests, so they can keep the ranks that
    // they know for longer than any cut that the users list.
    constexpr milliseconds keepLapsedFor { 20'000 };
    constexpr std::size_t largestDatagram = 65'536;
    constexpr unsigned short membershipPortOffset = 1;
    constexpr unsigned short callPortOffset = 2;
    constexpr unsigned short metricsPort = 9'465;

} // namespace

agent_process::agent_process(process_context& context, decision_log& log, gateway_settings settings, const fleet_decoder& decoder, rank_port& port)
    : m_context(context)
    , m_log(log)
    , m_settings(std::move(settings))
    , m_port(port)
    , m_state(context, log, decoder, keepLapsedFor)
    , m_loads(loadReportLifetime)
    , m_groups(groupUpdateLifetime)
    , m_link(context, log, port, static_cast<unsigned short>(m_settings.firstPeerPort + callPortOffset), m_settings.engineAddress)
    , m_leader(context, log, m_state, m_link, m_roster, m_settings.linkMbps)
    , m_socket(context.io())
    , m_signals(context.io(), SIGTERM, SIGINT, SIGHUP)
{
}

agent_process::~agent_process() = default;

result<std::unique_ptr<agent_process>> agent_process::start(process_context& context, decision_log& log, gateway_settings settings, const fleet_decoder& decoder, rank_port& port)
{
    std::unique_ptr<agent_process> process(new agent_process(context, log, std::move(settings), decoder, port));
    logExceptions(context, log);
    const auto opened = process->openPorts();
    if (!opened)
        return opened.error();
    process->m_state.onConfiguration([raw = process.get()] { raw->configure(); });
    process->m_link.onCalled([raw = process.get()](const std::string& leader, const std::string& group) {
        if (group == raw->m_group)
            raw->m_leadership.recordCall(leader, raw->m_context.now());
    });
    process->m_link.onOwnState([raw = process.get()](const rank_view& view) { raw->recordHold(view); });
    process->m_peers->start();
    startLoop(context, "poll_own_engine", [raw = process.get()] { return raw->pollOwnEngineLoop(); });
    startLoop(context, "receive_membership", [raw = process.get()] { return raw->receiveLoop(); });
    startLoop(context, "poll_group", [raw = process.get()] { return raw->pollGroupLoop(); });
    startLoop(context, "change_placement", [raw = process.get()] { return raw->changePlacementLoop(); });
    startLoop(context, "signals", [raw = process.get()] { return raw->watchSignals(); });
    startLoop(context, "log", [&context, &log] { return flushLog(context, log); });
    log.line("started").add("role", "agent").add("zone", process->m_settings.zone).add("engine", process->m_settings.engineAddress).add("incarnation", context.incarnation());
    return process;
}

result<void> agent_process::openPorts()
{
    m_metricsPages.add("/metrics", [this](const http_request&) {
        return makeResponse(200, "text/plain; version=0.0.4", m_context.counters().serialize());
    });
    const auto portAt = [this](unsigned short offset) { return m_settings.host + ":" + std::to_string(m_settings.firstPeerPort + offset); };
    auto calls = http_server::listen(m_context, portAt(callPortOffset), {}, *this);
    if (!calls)
        return calls.error();
    m_callPort = std::move(calls.value());
    auto metrics = http_server::listen(m_context, m_settings.host + ":" + std::to_string(metricsPort), {}, m_metricsPages);
    if (!metrics)
        return metrics.error();
    m_metricsPort = std::move(metrics.value());
    const auto endpoint = parseEndpoint(portAt(membershipPortOffset));
    if (!endpoint)
        return endpoint.error();
    boost::system::error_code error;
    m_socket.open(udp::v4(), error);
    if (!error)
        m_socket.bind({ endpoint.value().address(), endpoint.value().port() }, error);
    if (error)
        return notRun(failure_reason::not_ready, "cannot receive datagrams on " + portAt(membershipPortOffset) + ": " + error.message());
    m_socket.non_blocking(true);
    peer_exchange_settings exchange;
    exchange.datagramPort = m_settings.firstPeerPort;
    exchange.controlPort = m_settings.seedControlPort;
    exchange.reportInterval = peerReportInterval;
    exchange.freshness = agentPace;
    exchange.distrustSourceAfter = distrustSourceAfter;
    peer_table table({ m_settings.host, m_settings.zone, peer_role::agent, m_context.incarnation() }, m_settings.seedHosts, peerTimeout);
    auto peers = peer_exchange::open(m_context, m_log, m_state, m_loads, m_groups, m_history, m_limits, std::move(table), exchange);
    if (!peers)
        return peers.error();
    m_peers = std::move(peers.value());
    return boost::outcome_v2::success();
}

void agent_process::configure()
{
    const auto* service = m_state.configuration()->findService(m_settings.engineService);
    if (!service || !service->isModel || service->costs.layerSets <= 0)
        return;
    m_leader.configure(service->costs, m_state.configuration()->strictestGap(service->name));
}

awaitable<void> agent_process::handle(http_exchange& exchange)
{
    if (exchange.request().target() != groupCallPath) {
        co_await exchange.send(makeResponse(404, "text/plain", "no such page\n"));
        co_return;
    }
    auto response = co_await m_link.serve(exchange.request());
    co_await exchange.send(std::move(response));
}

const std::vector<std::string>& agent_process::pool()
{
    return m_state.backends().activeServers(m_settings.engineService);
}

const std::vector<std::string>& agent_process::members()
{
    return m_members.members(m_state.backends(), m_settings.engineService, m_roster, { m_group, m_groupSize });
}

const listed_backend* agent_process::ownBackend()
{
    return m_state.backends().findByAddress(m_settings.engineAddress);
}

awaitable<void> agent_process::pollOwnEngineLoop()
{
    for (;;) {
        co_await sleepFor(m_context.io(), enginePollInterval);
        if (!m_leader.configured() || !ownBackend())
            continue;
        const auto view = co_await m_port.state(m_settings.engineAddress);
        // The engine's entry may have been removed during the call.
        const auto* own = ownBackend();
        if (!view)
            co_await probeSilentEngine();
        if (!view || view.value().groupSize == 0 || !own)
            continue;
        recordOwnGroup(view.value(), own->id);
        recordHold(view.value());
        m_peers->publishGroupState({ { m_settings.engineService, m_group }, { view.value().epoch, view.value().open } });
        requestUnknownGroups(own->id);
        if (m_leadership.leaderOverdue(m_context.now()))
            requestLeader(own->id);
    }
}

// When a rank's process ends, the other ranks of its group stall and report that only later. Until
// then callers would be sent to them in vain, though another group may be open. If the process is
// alive after all, the report of the closed group expires, since nobody repeats it.
awaitable<void> agent_process::probeSilentEngine()
{
    if (m_group.empty())
        co_return;
    const auto probed = co_await probeServer(m_context.io(), m_settings.engineAddress, m_port.makeProbe());
    if (probed.liveness == server_liveness::gone)
        m_peers->publishGroupState({ { m_settings.engineService, m_group }, { m_epoch, false } });
}

void agent_process::recordOwnGroup(const rank_view& view, const std::string& ownId)
{
    m_groupSize = view.groupSize;
    m_epoch = view.epoch;
    m_roster.recordGroup(ownId, view.group, m_context.now());
    if (view.group == m_group)
        return;
    m_log.line("group_joined").add("group", view.group).add("rank", view.rank).add("size", view.groupSize).add("before", m_group.empty() ? "-" : m_group);
    m_group = view.group;
    for (const auto& id : pool()) {
        if (id != ownId)
            sendMembership(ownId, *m_state.backends().find(id), false);
    }
}

void agent_process::requestUnknownGroups(const std::string& ownId)
{
    const auto& all = pool();
    // If all servers fit in one group there is nothing to ask.
    if (all.size() <= m_groupSize || m_context.now() < m_nextQueriesAt)
        return;
    m_nextQueriesAt = m_context.now() + queryCheckInterval;
    for (const auto& id : m_roster.selectDueQueries(all, ownId, m_context.now()))
        sendMembership(ownId, *m_state.backends().find(id), true);
}

void agent_process::requestLeader(const std::string& ownId)
{
    std::vector<std::string> others = members();
    std::erase(others, ownId);
    std::vector<std::string> asked;
    std::sample(others.begin(), others.end(), std::back_inserter(asked), agentsAskedForLeader, m_context.random());
    for (const auto& id : asked)
        sendMembership(ownId, *m_state.backends().find(id), true);
}

void agent_process::sendMembership(const std::string& ownId, const listed_backend& to, bool wantsReply)
{
    const auto endpoint = parseEndpoint(to.address);
    if (!endpoint)
        return;
    gateway::agent_datagram datagram;
    auto* membership = datagram.mutable_membership();
    membership->set_backend_id(ownId);
    membership->set_group(m_group);
    membership->set_wants_reply(wantsReply);
    if (const auto called = m_leadership.lastCall(m_context.now())) {
        membership->set_leader(m_leadership.leader());
        membership->set_leader_age_ms(static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(m_context.now() - *called).count()));
    }
    sendDatagram(datagram.SerializeAsString(), { endpoint.value().address(), static_cast<unsigned short>(m_settings.firstPeerPort + membershipPortOffset) });
}

void agent_process::mergeMembership(const gateway::rank_membership& membership, const udp::endpoint& from)
{
    m_roster.recordGroup(membership.backend_id(), membership.group(), m_context.now());
    if (membership.group() == m_group && !membership.leader().empty())
        m_leadership.recordCall(membership.leader(), m_context.now() - milliseconds(membership.leader_age_ms()));
    const auto* asker = m_state.backends().findByHost(from.address().to_string(), m_settings.engineService);
    const auto* own = ownBackend();
    if (membership.wants_reply() && asker && own && !m_group.empty())
        sendMembership(own->id, *asker, false);
}

void agent_process::sendDatagram(const std::string& bytes, const udp::endpoint& to)
{
    boost::system::error_code error;
    m_socket.send_to(asio::buffer(bytes), to, 0, error);
    m_context.counters().add(error ? metric::datagrams_unsent : metric::exchanges_sent);
}

awaitable<void> agent_process::receiveLoop()
{
    std::string bytes(largestDatagram, '\0');
    udp::endpoint from;
    for (;;) {
        const auto [error, size] = co_await m_socket.async_receive_from(asio::buffer(bytes), from, asTuple);
        if (!error)
            receive(bytes.substr(0, size), from);
    }
}

void agent_process::receive(const std::string& bytes, const udp::endpoint& from)
{
    gateway::agent_datagram datagram;
    if (!datagram.ParseFromString(bytes)) {
        m_context.counters().add(metric::datagrams_refused);
        return;
    }
    m_context.counters().add(metric::exchanges_received);
    if (datagram.has_membership())
        mergeMembership(datagram.membership(), from);
}

// Asked again after each wait: meanwhile the own engine may have begun to drain, been removed or replaced at its address.
std::optional<group_members> agent_process::groupToLead()
{
    const auto* own = ownBackend();
    const bool isLeading = m_leader.configured() && own && !m_group.empty() && m_leadership.leads(own->id, members(), m_context.now());
    logLeaderChange();
    if (!isLeading)
        return std::nullopt;
    return group_members { m_group, own->id, members(), m_roster.unknown(pool()) };
}

void agent_process::recordHold(const rank_view& view)
{
    const instant now = m_context.now();
    const auto ended = m_leadership.recordHold(view.holdsUp(), now);
    if (!ended)
        return;
    const double seconds = std::chrono::duration<double>(*ended).count();
    m_context.counters().set(metric::longest_hold, std::max(seconds, m_context.counters().value(metric::longest_hold)));
    if (*ended >= minLoggedHold)
        m_log.line("hold_ended").add("held_ms", *ended).add("step", view.step).add("leader", m_leadership.leader().empty() ? "-" : m_leadership.leader());
}

void agent_process::checkHold()
{
    m_leadership.setCallInterval(m_leader.pollIntervalFor(m_groupSize));
    const auto* own = ownBackend();
    const instant now = m_context.now();
    if (!own || m_leadership.heldFor(now) == duration(0) || !m_leadership.leaderOverdue(now) || now - m_leaderAskedAt < enginePollInterval)
        return;
    m_leaderAskedAt = now;
    requestLeader(own->id);
}

void agent_process::logLeaderChange()
{
    if (m_leadership.leader() == m_leaderId)
        return;
    const auto* own = ownBackend();
    if (own && m_leadership.leader() == own->id) {
        m_silentLeader = m_leaderId;
        m_log.line("leadership_taken").add("before", m_leaderId.empty() ? "-" : m_leaderId).add("reason", toString(m_leadership.reason())).add("silent_ms", m_leadership.silentBefore()).add("held_ms", m_leadership.heldFor(m_context.now()));
    }
    m_log.line("leader_chosen").add("leader", m_leadership.leader()).add("before", m_leaderId.empty() ? "-" : m_leaderId);
    m_leaderId = m_leadership.leader();
}

awaitable<void> agent_process::pollGroupLoop()
{
    instant startedAt = m_context.now();
    for (;;) {
        // The interval runs from start to start: a poll of 129 ranks takes about as long as it.
        const milliseconds pause = m_leader.configured() ? m_leader.pollInterval() : enginePollInterval;
        co_await sleepUntil(m_context.io(), std::max(startedAt + pause, m_context.now() + minPauseBetweenPolls));
        startedAt = m_context.now();
        if (auto known = groupToLead())
            co_await pollGroupAndReport(std::move(*known));
    }
}

awaitable<void> agent_process::pollGroupAndReport(group_members known)
{
    co_await m_leader.poll(std::move(known));
    if (m_context.now() - m_rankLoadsSentAt < minLoadReportInterval || m_leader.group().empty())
        co_return;
    m_rankLoadsSentAt = m_context.now();
    m_peers->sendRankLoads({ m_settings.engineService, m_leader.group() }, m_leader.slowdown(), m_leader.measuredPass(), m_leader.rankLoads());
}

awaitable<void> agent_process::changePlacementLoop()
{
    for (;;) {
        co_await sleepFor(m_context.io(), placementCheckInterval);
        checkHold();
        auto known = groupToLead();
        if (known && !m_silentLeader.empty()) {
            const std::string silent = std::exchange(m_silentLeader, {});
            co_await m_leader.takeOver(std::move(*known), silent);
            known = groupToLead();
        }
        if (known)
            co_await m_leader.runNextTask(std::move(*known));
    }
}

awaitable<void> agent_process::watchSignals()
{
    for (;;) {
        const auto [error, number] = co_await m_signals.async_wait(asTuple);
        if (error)
            co_return;
        if (number == SIGHUP) {
            m_log.line("reload_asked").add("signal", "SIGHUP").add("outcome", "nothing to reload");
            continue;
        }
        m_log.line("stopping").add("signal", number);
        m_log.flush();
        m_context.io().stop();
    }
}

} // namespace rampgap
