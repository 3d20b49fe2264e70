#include "gateway/peers/peer_exchange.h"

#include "daemon/sleep.h"
#include "daemon/task.h"
#include "gateway/peers/peer_wire.h"
#include "policy/configuration/store_reading.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t largestDatagram = 8'192;
    // One report of this many also carries known processes, and another one heartbeats: both together would not fit in a packet.
    constexpr int reportsPerMembership = 4;
    constexpr int heartbeatRound = 2;
    constexpr std::size_t processesPerDatagram = 24;
    // Entry VMs that an agent sends each report to. An agent has no requests to report: its reports only keep it
    // in contact with some entry VMs.
    constexpr std::size_t reportFanoutOfAgent = 1;
    // Number of entry VMs to which a process forwards a changed state of a group. So the change reaches
    // all of 149 entry VMs in three or four rounds, and each of them sends 6 datagrams. If each of 129
    // agents sent it to each entry VM, that would take 19,000 datagrams.
    constexpr std::size_t groupFanout = 6;
    // The same for an agent: fewer, as all agents of a group see the change themselves.
    constexpr std::size_t groupFanoutOfAgent = 3;
    // If there are no more entry VMs than this, all are sent rank loads directly: forwarding costs a millisecond, and a
    // forwarding VM that is gone costs a whole interval.
    constexpr std::size_t maxDirectRecipients = 8;
    // Each zone has a reader that announces changes in it. If it is gone, these pass on the news of another zone's.
    constexpr std::size_t announcedPerOtherZone = 2;
    // Between two queries of a process that holds no state yet.
    constexpr milliseconds joinInterval { 100 };
    // Longest pause between two rounds of the periodic work of `freshnessLoop`; a query for freshness that is due
    // sooner shortens it.
    constexpr milliseconds checkInterval { 150 };
    // Shortest pause, if queries are overdue.
    constexpr milliseconds minCheckPause { 10 };
    // An answer later than this is worth no more than a new query.
    constexpr milliseconds queryLifetime { 1'000 };

} // namespace

result<std::unique_ptr<peer_exchange>> peer_exchange::open(process_context& context, decision_log& log, fleet_state& state, load_table& loads, group_directory& groups, crash_history& history, server_limits& limits, peer_table peers, peer_exchange_settings settings)
{
    boost::system::error_code error;
    udp::socket socket(context.io());
    const auto address = asio::ip::make_address(peers.self().host, error);
    if (!error)
        socket.open(udp::v4(), error);
    if (!error)
        socket.bind({ address, settings.datagramPort }, error);
    if (error)
        return notRun(failure_reason::not_ready, "cannot receive datagrams on " + peers.self().host + ":" + std::to_string(settings.datagramPort) + ": " + error.message());
    socket.non_blocking(true);
    return std::unique_ptr<peer_exchange>(new peer_exchange(context, log, state, loads, groups, history, limits, std::move(peers), settings, std::move(socket)));
}

peer_exchange::peer_exchange(process_context& context, decision_log& log, fleet_state& state, load_table& loads, group_directory& groups, crash_history& history, server_limits& limits, peer_table peers, peer_exchange_settings settings, udp::socket socket)
    : m_context(context)
    , m_log(log)
    , m_state(state)
    , m_loads(loads)
    , m_groups(groups)
    , m_history(history)
    , m_peers(std::move(peers))
    , m_settings(settings)
    , m_socket(std::move(socket))
    , m_snapshots(context, log, state, settings.controlPort)
    , m_crashes(context, history, m_peers, *this)
    , m_limits(context, log, limits, m_peers, *this)
    , m_freshness(settings.freshness)
{
}

peer_exchange::~peer_exchange() = default;

void peer_exchange::start()
{
    startLoop(m_context, "receive_peers", [this] { return receiveLoop(); });
    startLoop(m_context, "join", [this] { return joinLoop(); });
    startLoop(m_context, "report", [this] { return reportLoop(); });
    startLoop(m_context, "freshness", [this] { return freshnessLoop(); });
}

void peer_exchange::announceLeaving()
{
    m_leaving = true;
    auto datagram = makeDatagram();
    datagram.set_leaving(true);
    for (const auto& peer : m_peers.live(peer_role::entry))
        send(peer.host, datagram);
}

gateway::peer_datagram peer_exchange::makeDatagram() const
{
    gateway::peer_datagram datagram;
    *datagram.mutable_sender() = toWire(m_peers.self());
    setSummary(datagram, m_state.summary());
    if (const auto restoredAt = m_state.restoredAt())
        datagram.set_restored_ms_ago(wholeMilliseconds(m_context.now() - *restoredAt));
    datagram.set_crash_digest(m_history.digest());
    return datagram;
}

void peer_exchange::addKnownProcesses(gateway::peer_datagram& datagram) const
{
    for (const auto& peer : m_peers.sample(peer_role::entry, processesPerDatagram, m_context.random())) {
        auto* known = datagram.add_known();
        *known->mutable_process() = toWire(peer);
        known->set_age_ms(wholeMilliseconds(m_peers.age(peer.host, m_context.now())));
    }
}

bool peer_exchange::mergeGroupStates(const gateway::peer_datagram& datagram)
{
    bool anyChange = false;
    for (const auto& wire : datagram.groups()) {
        const group_update update { { wire.service(), wire.group() }, { wire.epoch(), wire.open() } };
        if (!m_groups.mergeUpdate(update, milliseconds(wire.age_ms()), m_context.now()))
            continue;
        anyChange = true;
        m_log.line("group_state").add("group", update.key.group).add("epoch", update.phase.epoch).add("state", update.phase.open ? "open" : "closed").add("age_ms", wire.age_ms());
    }
    return anyChange;
}

void peer_exchange::gossipGroupStates()
{
    auto datagram = makeDatagram();
    addGroups(datagram, m_groups.updates(m_context.now()));
    const std::size_t fanout = m_peers.self().role == peer_role::agent ? groupFanoutOfAgent : groupFanout;
    for (const auto& peer : m_peers.sample(peer_role::entry, fanout, m_context.random()))
        send(peer.host, datagram);
}

void peer_exchange::forwardToZone(gateway::peer_datagram datagram)
{
    datagram.set_pass_on(false);
    for (const auto& peer : m_peers.live(peer_role::entry)) {
        if (peer.zone == m_peers.self().zone)
            send(peer.host, datagram);
    }
}

void peer_exchange::publishGroupState(const group_update& update)
{
    if (!m_groups.mergeUpdate(update, milliseconds(0), m_context.now()))
        return;
    m_log.line("group_state").add("group", update.key.group).add("epoch", update.phase.epoch).add("state", update.phase.open ? "open" : "closed").add("source", "own engine");
    gossipGroupStates();
}

void peer_exchange::send(const std::string& host, const gateway::peer_datagram& datagram)
{
    boost::system::error_code error;
    const auto address = asio::ip::make_address(host, error);
    if (error) {
        m_log.line("peer_address_refused").add("host", host).add("reason", error.message());
        return;
    }
    const std::string bytes = datagram.SerializeAsString();
    // A failed send is like a datagram lost on the way: the next one follows soon.
    m_socket.send_to(asio::buffer(bytes), { address, m_settings.datagramPort }, 0, error);
    if (error)
        m_context.counters().add(metric::datagrams_unsent);
    else
        m_context.counters().add(metric::exchanges_sent);
}

awaitable<void> peer_exchange::receiveLoop()
{
    std::string bytes(largestDatagram, '\0');
    udp::endpoint from;
    for (;;) {
        const auto [error, size] = co_await m_socket.async_receive_from(asio::buffer(bytes), from, asTuple);
        gateway::peer_datagram datagram;
        if (error || !datagram.ParseFromArray(bytes.data(), static_cast<int>(size))) {
            m_context.counters().add(metric::datagrams_refused);
            continue;
        }
        m_context.counters().add(metric::exchanges_received);
        receive(datagram, from.address().to_string());
    }
}

void peer_exchange::receive(const gateway::peer_datagram& datagram, const std::string& host)
{
    const instant now = m_context.now();
    peer_info sender = fromWire(datagram.sender());
    sender.host = host;
    if (datagram.leaving()) {
        m_peers.recordLeaving(host);
        m_loads.forgetPeer(host);
        m_log.line("peer_leaving").add("peer", host);
        return;
    }
    // Agents are not added to the peers: no process needs to know which ones exist.
    if (sender.role == peer_role::entry && m_peers.recordContact(sender, now))
        m_log.line("peer_joined").add("peer", host).add("zone", sender.zone).add("incarnation", sender.incarnation);
    for (const auto& known : datagram.known())
        m_peers.mergeReport(fromWire(known.process()), milliseconds(known.age_ms()), now);
    for (const auto& heard : heartbeatsOf(datagram))
        m_peers.mergeHeartbeat(heard.host, heard.age, now);
    const bool isEntry = m_peers.self().role == peer_role::entry;
    if (mergeGroupStates(datagram) && isEntry)
        gossipGroupStates();
    m_crashes.receive(datagram, host);
    m_limits.receive(datagram, host);
    if (datagram.pass_on() && isEntry)
        forwardToZone(datagram);
    if (datagram.has_report())
        m_loads.mergePeerState(host, workOf(datagram), now);
    mergeRankLoads(datagram);
    if (sender.role == peer_role::entry)
        recordSummary(sender, summaryOf(datagram));
    if (sender.role == peer_role::entry && datagram.has_restored_ms_ago())
        m_state.mergePeerRestoration(datagram.epoch(), now - milliseconds(datagram.restored_ms_ago()));
    if (datagram.has_question())
        sendFreshnessAnswer(datagram, host);
    if (datagram.has_answer())
        mergeFreshnessAnswer(datagram);
    if (datagram.wants_known()) {
        auto reply = makeDatagram();
        addKnownProcesses(reply);
        if (sender.role == peer_role::entry)
            m_limits.addKnownLimits(reply);
        reply.mutable_answer();
        send(host, reply);
    }
}

void peer_exchange::mergeRankLoads(const gateway::peer_datagram& datagram)
{
    if (datagram.ranks().empty())
        return;
    const instant now = m_context.now();
    const rank_load_report report = ranksOf(datagram);
    if (report.slowdown.expertSkew > 0)
        m_groups.recordSlowdown(report.group, report.slowdown, now);
    if (report.pass > milliseconds(0))
        m_groups.recordPublishedPass(report.group, report.pass, now);
    for (const auto& [hash, load] : report.loads)
        m_groups.recordMember(hash, report.group);
    m_loads.mergeRankLoads(report.loads, now);
}

void peer_exchange::recordSummary(const peer_info& sender, const state_summary& summary)
{
    const bool sameZone = sender.zone == m_peers.self().zone;
    m_snapshots.recordSummary(sender.host, sameZone, summary);
}

void peer_exchange::sendFreshnessAnswer(const gateway::peer_datagram& datagram, const std::string& host)
{
    const auto age = m_state.freshnessAge();
    if (!age)
        return;
    auto reply = makeDatagram();
    reply.mutable_answer()->set_nonce(datagram.question().nonce());
    setSummary(*reply.mutable_answer(), m_state.summary());
    reply.mutable_answer()->set_proof_age_ms(wholeMilliseconds(*age));
    send(host, reply);
}

// The age counts back from the moment before the query was sent, by this process's own clock, so
// that the freshness is never overstated.
void peer_exchange::mergeFreshnessAnswer(const gateway::peer_datagram& datagram)
{
    const auto asked = m_freshnessQueries.find(datagram.answer().nonce());
    if (asked == m_freshnessQueries.end())
        return;
    const instant freshAsOf = asked->second - milliseconds(datagram.answer().proof_age_ms() + 1);
    m_state.mergePeerFreshness(summaryOf(datagram.answer()), freshAsOf);
}

// Polls quickly, since callers wait until this process holds a configuration.
awaitable<void> peer_exchange::joinLoop()
{
    while (m_state.published().empty()) {
        requestKnownProcesses(m_peers.otherSeeds());
        co_await sleepFor(m_context.io(), joinInterval);
    }
}

void peer_exchange::requestKnownProcesses(const std::vector<std::string>& hosts)
{
    auto datagram = makeDatagram();
    datagram.set_wants_known(true);
    for (const auto& host : hosts)
        send(host, datagram);
}

awaitable<void> peer_exchange::reportLoop()
{
    int count = 0;
    for (;;) {
        co_await sleepFor(m_context.io(), m_settings.reportInterval);
        if (m_leaving)
            co_return;
        for (const auto& host : m_peers.dropSilent(m_context.now())) {
            m_loads.forgetPeer(host);
            m_log.line("peer_lost").add("peer", host);
        }
        const int round = count++ % reportsPerMembership;
        const bool withKnown = round == 0;
        auto datagram = makeDatagram();
        addGroups(datagram, m_groups.updates(m_context.now()));
        addWork(datagram, m_loads.report());
        m_limits.addUpdates(datagram);
        if (withKnown)
            addKnownProcesses(datagram);
        const bool isEntry = m_peers.self().role == peer_role::entry;
        if (isEntry && round == heartbeatRound)
            addHeartbeats(datagram, m_peers.sampleHeartbeats(m_context.now(), m_context.random()));
        const std::size_t fanout = isEntry ? gossipFanout : reportFanoutOfAgent;
        // Agents ask a different entry VM each time which others exist.
        datagram.set_wants_known(withKnown && !isEntry);
        const auto recipients = m_peers.samplePreferringOwnZone(peer_role::entry, fanout, m_context.random());
        for (const auto& peer : recipients)
            send(peer.host, datagram);
        if (withKnown)
            requestKnownProcesses(m_peers.seedsToContact());
    }
}

void peer_exchange::announceState()
{
    if (m_announced == m_state.summary())
        return;
    m_announced = m_state.summary();
    const auto datagram = makeDatagram();
    for (const auto& peer : m_peers.ownZoneAndSome(peer_role::entry, announcedPerOtherZone, m_context.random()))
        send(peer.host, datagram);
}

void peer_exchange::sendRankLoads(const group_key& group, const group_slowdown& slowdown, milliseconds pass, const load_report_by_hash& ranks)
{
    const bool direct = m_peers.count(peer_role::entry) <= maxDirectRecipients;
    auto common = makeDatagram();
    addGroups(common, m_groups.updates(m_context.now()));
    common.set_pass_on(!direct);
    const auto recipients = direct ? m_peers.live(peer_role::entry) : m_peers.onePerZone(peer_role::entry, m_context.random());
    for (const auto& datagram : rankDatagrams(common, { group, slowdown, pass, ranks })) {
        for (const auto& peer : recipients)
            send(peer.host, datagram);
    }
}

awaitable<void> peer_exchange::freshnessLoop()
{
    for (;;) {
        const instant wokenAt = m_context.now();
        co_await sleepUntil(m_context.io(), std::min(wokenAt + checkInterval, std::max(m_freshness.dueAt(), wokenAt + minCheckPause)));
        m_state.runPeriodicWork();
        m_snapshots.fetchOverdue();
        const instant now = m_context.now();
        std::erase_if(m_freshnessQueries, [now](const auto& asked) { return now - asked.second > queryLifetime; });
        if (const auto freshAsOf = m_state.published().freshAsOf())
            m_freshness.recordFreshness(*freshAsOf);
        if (now >= m_freshness.dueAt())
            requestFreshness();
    }
}

// Readers of other zones help if the one of the own zone is gone, cut off or turned away by the
// store; a random peer as well if no reader helps.
std::vector<std::string> peer_exchange::freshnessSources() const
{
    std::vector<std::string> sources;
    const std::string usual = freshnessSource(m_peers, {});
    if (!usual.empty())
        sources.push_back(usual);
    const auto age = m_state.freshnessAge();
    const bool outdated = !age || *age > m_settings.distrustSourceAfter;
    const bool zoneUnknown = usual.empty() && m_peers.self().role == peer_role::agent;
    if (!outdated && !m_state.storeUnavailable() && !zoneUnknown)
        return sources;
    auto readers = chosenReaders(m_peers, {});
    std::erase(readers, m_peers.self().host);
    std::erase(readers, usual);
    std::sample(readers.begin(), readers.end(), std::back_inserter(sources), 1, m_context.random());
    if (outdated) {
        for (const auto& peer : m_peers.sample(peer_role::entry, 1, m_context.random()))
            sources.push_back(peer.host);
    }
    return sources;
}

void peer_exchange::requestFreshness()
{
    m_freshness.recordAsked(m_context.now());
    for (const auto& host : freshnessSources()) {
        auto datagram = makeDatagram();
        datagram.mutable_question()->set_nonce(++m_nonce);
        m_freshnessQueries[m_nonce] = m_context.now();
        send(host, datagram);
    }
}

} // namespace rampgap
