#include "gateway/agent_process.h"

#include "gateway/rank_wire.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    // Popularity changes within a second and a change of placement takes 0.4 s.
    constexpr milliseconds reportInterval { 100 };
    // Counts are reported in units so that the highest takes one byte: shares need no more.
    constexpr std::uint64_t highestUnits = 127;
    // Each report with counts costs a rank's link; larger groups report them less often.
    constexpr std::size_t ranksPerCountsTick = 12;
    // A group opens with a placement that knows no popularity, at three times the usual step
    // time: then the counts of a large group are worth two thirds of its leader's link.
    constexpr milliseconds youngEpoch { 1'500 };
    constexpr std::uint64_t ticksPerEarlyCounts = 2;
    constexpr milliseconds leadInterval { 25 };
    // How often entry VMs hear how many requests are at each rank.
    constexpr milliseconds ranksToldInterval { 150 };
    // A leader that has not answered reports for so long is passed over.
    constexpr milliseconds leaderPatience { 700 };
    constexpr milliseconds leaderPenalty { 4'000 };
    // An agent hears of entry VMs seldom; it needs only a few that answer.
    constexpr milliseconds peerSilence { 15'000 };
    constexpr milliseconds peerReportInterval { 400 };
    constexpr milliseconds proofWanted { 700 };
    constexpr milliseconds loadReportLife { 400 };
    constexpr milliseconds groupNewsLife { 1'500 };
    // A group whose ranks were cut off opens 0.6 s after the cut, but their entries lapsed in
    // it and come back up to 2 s later. Agents send no requests: they go on with the ranks
    // they know, beyond any cut that the users list.
    constexpr milliseconds lapsedLife { 20'000 };
    constexpr std::size_t largestDatagram = 65'536;
    constexpr unsigned short reportPortOffset = 1;
    constexpr unsigned short orderPortOffset = 2;
    constexpr unsigned short metricsPort = 9'465;

} // namespace

agent_process::agent_process(process_context& context, decision_log& log, gateway_settings settings, const fleet_decoder& decoder, rank_port& port)
    : m_context(context)
    , m_log(log)
    , m_settings(std::move(settings))
    , m_port(port)
    , m_state(context, log, decoder, lapsedLife)
    , m_loads(loadReportLife)
    , m_groups(groupNewsLife)
    , m_link(context, log, port, static_cast<unsigned short>(m_settings.firstPeerPort + orderPortOffset))
    , m_leader(context, log, m_state, m_link, m_roster)
    , m_choice(leaderPatience, leaderPenalty)
    , m_socket(context.io())
    , m_signals(context.io(), SIGTERM, SIGINT, SIGHUP)
{
}

agent_process::~agent_process() = default;

result<std::unique_ptr<agent_process>> agent_process::start(process_context& context, decision_log& log, gateway_settings settings, const fleet_decoder& decoder, rank_port& port)
{
    std::unique_ptr<agent_process> process(new agent_process(context, log, std::move(settings), decoder, port));
    const auto opened = process->openPorts();
    if (!opened)
        return opened.error();
    process->m_state.onConfiguration([raw = process.get()] { raw->configure(); });
    process->m_peers->start();
    asio::co_spawn(context.io(), process->reportLoop(), asio::detached);
    asio::co_spawn(context.io(), process->receiveLoop(), asio::detached);
    asio::co_spawn(context.io(), process->leadLoop(), asio::detached);
    asio::co_spawn(context.io(), process->tellLoop(), asio::detached);
    asio::co_spawn(context.io(), process->watchSignals(), asio::detached);
    asio::co_spawn(context.io(), flushLog(context, log), asio::detached);
    log.line("started").add("role", "agent").add("zone", process->m_settings.zone).add("engine", process->m_settings.engineAddress).add("incarnation", context.incarnation());
    return process;
}

result<void> agent_process::openPorts()
{
    m_metricsPages.add("/metrics", [this](const http_request&) {
        return makeResponse(200, "text/plain; version=0.0.4", m_context.counters().serialize());
    });
    const auto portAt = [this](unsigned short offset) { return m_settings.host + ":" + std::to_string(m_settings.firstPeerPort + offset); };
    auto orders = http_server::listen(m_context, portAt(orderPortOffset), {}, *this);
    if (!orders)
        return orders.error();
    m_orders = std::move(orders.value());
    auto metrics = http_server::listen(m_context, m_settings.host + ":" + std::to_string(metricsPort), {}, m_metricsPages);
    if (!metrics)
        return metrics.error();
    m_metricsPort = std::move(metrics.value());
    const auto endpoint = parseEndpoint(portAt(reportPortOffset));
    if (!endpoint)
        return endpoint.error();
    boost::system::error_code error;
    m_socket.open(udp::v4(), error);
    if (!error)
        m_socket.bind({ endpoint.value().address(), endpoint.value().port() }, error);
    if (error)
        return notRun(failure_reason::not_ready, "cannot receive reports on " + portAt(reportPortOffset) + ": " + error.message());
    m_socket.non_blocking(true);
    peer_exchange_settings exchange;
    exchange.datagramPort = m_settings.firstPeerPort;
    exchange.controlPort = m_settings.seedControlPort;
    exchange.reportInterval = peerReportInterval;
    exchange.proofWanted = proofWanted;
    peer_table table({ m_settings.host, m_settings.zone, peer_role::agent, m_context.incarnation() }, m_settings.seedHosts, peerSilence);
    auto peers = peer_exchange::open(m_context, m_log, m_state, m_loads, m_groups, std::move(table), exchange);
    if (!peers)
        return peers.error();
    m_peers = std::move(peers.value());
    return boost::outcome_v2::success();
}

void agent_process::configure()
{
    const auto* service = m_state.configuration()->findService(m_settings.engineService);
    if (service && service->isModel && service->costs.layerSets > 0)
        m_leader.configure(service->costs);
}

awaitable<void> agent_process::handle(http_exchange& exchange)
{
    if (exchange.request().target() != rankOrderPath) {
        co_await exchange.send(makeResponse(404, "text/plain", "no such page\n"));
        co_return;
    }
    auto response = co_await m_link.serve(exchange.request(), m_settings.engineAddress);
    co_await exchange.send(std::move(response));
}

std::vector<std::string> agent_process::pool()
{
    return m_state.backends().pool(m_settings.engineService);
}

std::vector<std::string> agent_process::members()
{
    return m_roster.members(pool(), m_group, m_groupSize);
}

const listed_backend* agent_process::ownBackend()
{
    return m_state.backends().findByAddress(m_settings.engineAddress);
}

awaitable<void> agent_process::reportLoop()
{
    for (std::uint64_t tick = 0;; ++tick) {
        asio::steady_timer timer(m_context.io(), reportInterval);
        co_await timer.async_wait(asTuple);
        if (!m_leader.configured() || !ownBackend())
            continue;
        const auto view = co_await m_port.state(m_settings.engineAddress);
        // The engine's entry may have gone while it was asked.
        const auto* own = ownBackend();
        if (!view || view.value().groupSize == 0 || !own)
            continue;
        noteGroup(view.value(), own->id);
        m_peers->tellGroup({ { m_settings.engineService, m_group }, { view.value().epoch, view.value().open } });
        noteEpoch(view.value());
        askGroups(own->id);
        std::vector<std::uint64_t> choices;
        if (countsDue(view.value(), tick)) {
            auto counts = co_await m_port.counts(m_settings.engineAddress);
            if (counts)
                choices = m_choices.take(std::move(counts.value().counts));
        }
        sendReport(view.value(), std::move(choices));
    }
}

void agent_process::noteGroup(const rank_view& view, const std::string& ownId)
{
    m_groupSize = view.groupSize;
    m_roster.note(ownId, view.group, m_context.now());
    if (view.group == m_group)
        return;
    m_log.line("group_joined").add("group", view.group).add("rank", view.rank).add("size", view.groupSize).add("before", m_group.empty() ? "-" : m_group);
    m_group = view.group;
    for (const auto& id : pool()) {
        if (id != ownId)
            sendMembership(ownId, *m_state.backends().find(id), false);
    }
}

void agent_process::askGroups(const std::string& ownId)
{
    const auto all = pool();
    // Where all fit in one group there is nothing to ask.
    if (all.size() <= m_groupSize)
        return;
    for (const auto& id : m_roster.takeQuestions(all, ownId, m_context.now()))
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
    sendDatagram(datagram.SerializeAsString(), { endpoint.value().address(), static_cast<unsigned short>(m_settings.firstPeerPort + reportPortOffset) });
}

void agent_process::takeMembership(const gateway::rank_membership& told, const udp::endpoint& from)
{
    m_roster.note(told.backend_id(), told.group(), m_context.now());
    const auto* asker = m_state.backends().findByHost(from.address().to_string(), m_settings.engineService);
    const auto* own = ownBackend();
    if (told.wants_reply() && asker && own && !m_group.empty())
        sendMembership(own->id, *asker, false);
}

void agent_process::noteEpoch(const rank_view& view)
{
    if (!view.open || view.epoch == m_epoch)
        return;
    m_epoch = view.epoch;
    m_epochSince = m_context.now();
    m_choice.forgive();
}

bool agent_process::countsDue(const rank_view& view, std::uint64_t tick)
{
    const bool young = m_context.now() - m_epochSince < youngEpoch;
    const std::uint64_t usual = 1 + view.groupSize / (ranksPerCountsTick + 1);
    const std::uint64_t ticks = young ? std::min(usual, ticksPerEarlyCounts) : usual;
    return (tick + view.rank) % ticks == 0;
}

void agent_process::sendReport(const rank_view& view, std::vector<std::uint64_t> choices)
{
    const auto* own = ownBackend();
    const std::string leader = m_choice.choose(members(), m_context.now());
    if (leader != m_leaderId) {
        m_log.line("leader_chosen").add("leader", leader).add("before", m_leaderId.empty() ? "-" : m_leaderId);
        m_leaderId = leader;
    }
    if (leader.empty() || !own)
        return;
    if (leader == own->id) {
        m_leader.observe({ own->id, view, std::move(choices) });
        return;
    }
    gateway::agent_datagram datagram;
    auto* report = datagram.mutable_report();
    report->set_backend_id(own->id);
    *report->mutable_view() = toWire(view);
    report->set_number(++m_reports);
    const std::uint64_t highest = choices.empty() ? 0 : *std::max_element(choices.begin(), choices.end());
    const std::uint64_t unit = highest / highestUnits + 1;
    report->set_choices_unit(static_cast<std::uint32_t>(unit));
    for (const auto count : choices)
        report->add_choices(static_cast<std::uint32_t>((count + unit / 2) / unit));
    const auto endpoint = parseEndpoint(m_state.backends().find(leader)->address);
    if (!endpoint)
        return;
    m_choice.noteReportSent(leader, m_context.now());
    sendDatagram(datagram.SerializeAsString(), { endpoint.value().address(), static_cast<unsigned short>(m_settings.firstPeerPort + reportPortOffset) });
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
    if (datagram.has_ack()) {
        const auto* leader = m_state.backends().findByHost(from.address().to_string(), m_settings.engineService);
        if (leader)
            m_choice.noteAnswer(leader->id);
        return;
    }
    if (datagram.has_membership()) {
        takeMembership(datagram.membership(), from);
        return;
    }
    if (!datagram.has_report() || !m_leader.configured())
        return;
    const auto& report = datagram.report();
    m_roster.note(report.backend_id(), report.view().group(), m_context.now());
    // Not acknowledged: this agent leads no other group than its engine's.
    if (report.view().group() != m_group) {
        const auto* sender = m_state.backends().find(report.backend_id());
        const auto* own = ownBackend();
        if (sender && own && !m_group.empty())
            sendMembership(own->id, *sender, false);
        return;
    }
    rank_observation seen { report.backend_id(), fromWire(report.view()), {} };
    for (const auto count : report.choices())
        seen.choices.push_back(static_cast<std::uint64_t>(count) * report.choices_unit());
    m_leader.observe(seen);
    gateway::agent_datagram answer;
    answer.mutable_ack()->set_number(report.number());
    sendDatagram(answer.SerializeAsString(), from);
}

bool agent_process::leads()
{
    const auto* own = ownBackend();
    return own && m_choice.choose(members(), m_context.now()) == own->id;
}

awaitable<void> agent_process::leadLoop()
{
    for (;;) {
        asio::steady_timer timer(m_context.io(), leadInterval);
        co_await timer.async_wait(asTuple);
        if (!leads())
            continue;
        group_members ids { m_group, ownBackend()->id, members(), m_roster.unknown(pool()) };
        co_await m_leader.work(std::move(ids));
    }
}

// Beside the leading: a change of placement takes longer than counts of requests last.
awaitable<void> agent_process::tellLoop()
{
    for (;;) {
        asio::steady_timer timer(m_context.io(), ranksToldInterval);
        co_await timer.async_wait(asTuple);
        if (leads())
            m_peers->tellRanks({ m_settings.engineService, m_leader.group() }, m_leader.strain(), m_leader.rankLoads());
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
