#include "gateway/peer_exchange.h"

#include "daemon/sleep.h"
#include "gateway/peer_wire.h"
#include "policy/store_reading.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;
using udp = asio::ip::udp;

namespace {

    constexpr auto asTuple = asio::as_tuple(asio::use_awaitable);
    constexpr std::size_t largestDatagram = 8'192;
    // Every so many reports carry the known processes too.
    constexpr int reportsPerMembership = 4;
    constexpr std::size_t knownPerDatagram = 24;
    // An agent has no work to tell; it only wants to go on knowing a few entry VMs.
    constexpr std::size_t entriesToldByAgent = 1;
    // Entry VMs that hear of a change in a group from one process that has just heard of it:
    // among 149 it has reached all after three or four times, with 6 datagrams an entry VM; told
    // by each of 129 agents to each entry VM it took 19,000.
    constexpr std::size_t groupFanout = 6;
    // Of these an agent tells so many: all agents of a group see the change themselves.
    constexpr std::size_t groupFanoutOfAgent = 3;
    // So few entry VMs are told directly: a relay costs them a millisecond, and one that is
    // gone an interval.
    constexpr std::size_t toldDirectly = 8;
    // Between two questions of a process that holds nothing yet.
    constexpr milliseconds joinInterval { 100 };
    constexpr milliseconds proofLookInterval { 150 };
    constexpr std::size_t peersAskedForProof = 2;
    // With an older proof the chosen readers may be gone or cut off.
    constexpr milliseconds doubtReadersAfter { 1'750 };
    // An answer that comes later than this is worth no more than a new question.
    constexpr milliseconds questionLife { 1'000 };

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
{
}

peer_exchange::~peer_exchange() = default;

void peer_exchange::start()
{
    asio::co_spawn(m_context.io(), receiveLoop(), asio::detached);
    asio::co_spawn(m_context.io(), joinLoop(), asio::detached);
    asio::co_spawn(m_context.io(), reportLoop(), asio::detached);
    asio::co_spawn(m_context.io(), proofLoop(), asio::detached);
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

void peer_exchange::addKnown(gateway::peer_datagram& datagram) const
{
    for (const auto& peer : m_peers.sample(peer_role::entry, knownPerDatagram, m_context.random())) {
        auto* known = datagram.add_known();
        *known->mutable_process() = toWire(peer);
        known->set_age_ms(wholeMilliseconds(m_peers.age(peer.host, m_context.now())));
    }
}

bool peer_exchange::takeGroups(const gateway::peer_datagram& datagram)
{
    bool anyNews = false;
    for (const auto& told : datagram.groups()) {
        const group_update news { { told.service(), told.group() }, { told.epoch(), told.open() } };
        if (!m_groups.mergeUpdate(news, milliseconds(told.age_ms()), m_context.now()))
            continue;
        anyNews = true;
        m_log.line("group_state").add("group", news.key.group).add("epoch", news.phase.epoch).add("state", news.phase.open ? "open" : "closed").add("age_ms", told.age_ms());
    }
    return anyNews;
}

void peer_exchange::spreadGroups()
{
    auto datagram = makeDatagram();
    addGroups(datagram, m_groups.updates(m_context.now()));
    const std::size_t fanout = m_peers.self().role == peer_role::agent ? groupFanoutOfAgent : groupFanout;
    for (const auto& peer : m_peers.sample(peer_role::entry, fanout, m_context.random()))
        send(peer.host, datagram);
}

void peer_exchange::passOn(gateway::peer_datagram datagram)
{
    datagram.set_pass_on(false);
    for (const auto& peer : m_peers.live(peer_role::entry)) {
        if (peer.zone == m_peers.self().zone)
            send(peer.host, datagram);
    }
}

void peer_exchange::tellGroup(const group_update& news)
{
    if (!m_groups.mergeUpdate(news, milliseconds(0), m_context.now()))
        return;
    m_log.line("group_state").add("group", news.key.group).add("epoch", news.phase.epoch).add("state", news.phase.open ? "open" : "closed").add("source", "own engine");
    spreadGroups();
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
    // A datagram that is lost here is as good as lost on the way: the next one follows soon.
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
    // Agents are not told anything: nobody has to know which there are.
    if (sender.role == peer_role::entry && m_peers.recordContact(sender, now))
        m_log.line("peer_joined").add("peer", host).add("zone", sender.zone).add("incarnation", sender.incarnation);
    for (const auto& known : datagram.known())
        m_peers.mergeReport(fromWire(known.process()), milliseconds(known.age_ms()), now);
    const bool isEntry = m_peers.self().role == peer_role::entry;
    if (takeGroups(datagram) && isEntry)
        spreadGroups();
    m_crashes.receive(datagram, host);
    m_limits.receive(datagram, host);
    if (datagram.pass_on() && isEntry)
        passOn(datagram);
    if (datagram.has_report())
        m_loads.mergePeerState(host, workOf(datagram), now);
    takeRanks(datagram);
    if (sender.role == peer_role::entry)
        noteSummary(sender, summaryOf(datagram));
    if (sender.role == peer_role::entry && datagram.has_restored_ms_ago())
        m_state.notePeerRestored(datagram.epoch(), now - milliseconds(datagram.restored_ms_ago()));
    if (datagram.has_question())
        answerQuestion(datagram, host);
    if (datagram.has_answer())
        takeAnswer(datagram);
    if (datagram.wants_known()) {
        auto reply = makeDatagram();
        addKnown(reply);
        if (sender.role == peer_role::entry)
            m_limits.addKnown(reply);
        reply.mutable_answer();
        send(host, reply);
    }
}

void peer_exchange::takeRanks(const gateway::peer_datagram& datagram)
{
    if (datagram.ranks().empty())
        return;
    const instant now = m_context.now();
    const ranks_report report = ranksOf(datagram);
    if (report.slowdown.expertSkew > 0)
        m_groups.recordSlowdown(report.group, report.slowdown, now);
    for (const auto& [hash, load] : report.loads)
        m_groups.recordMember(hash, report.group);
    m_loads.mergeRankLoads(report.loads, now);
}

void peer_exchange::noteSummary(const peer_info& sender, const state_summary& told)
{
    const bool sameZone = sender.zone == m_peers.self().zone;
    m_snapshots.noteTold(sender.host, sameZone, told);
}

void peer_exchange::answerQuestion(const gateway::peer_datagram& datagram, const std::string& host)
{
    const auto age = m_state.proofAge();
    if (!age)
        return;
    auto reply = makeDatagram();
    reply.mutable_answer()->set_nonce(datagram.question().nonce());
    setSummary(*reply.mutable_answer(), m_state.summary());
    reply.mutable_answer()->set_proof_age_ms(wholeMilliseconds(*age));
    send(host, reply);
}

// The age counts from before the question was sent, by this process's own clock.
void peer_exchange::takeAnswer(const gateway::peer_datagram& datagram)
{
    const auto asked = m_questions.find(datagram.answer().nonce());
    if (asked == m_questions.end())
        return;
    const instant freshAsOf = asked->second - milliseconds(datagram.answer().proof_age_ms() + 1);
    m_state.notePeerProof(summaryOf(datagram.answer()), freshAsOf);
}

// Until something is known every moment counts: callers wait.
awaitable<void> peer_exchange::joinLoop()
{
    while (m_state.published().empty()) {
        askForKnown(m_peers.otherSeeds());
        co_await sleepFor(m_context.io(), joinInterval);
    }
}

void peer_exchange::askForKnown(const std::vector<std::string>& hosts)
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
        const bool withKnown = count++ % reportsPerMembership == 0;
        auto datagram = makeDatagram();
        addGroups(datagram, m_groups.updates(m_context.now()));
        addWork(datagram, m_loads.report());
        m_limits.addNews(datagram);
        if (withKnown)
            addKnown(datagram);
        const bool tellsAll = m_peers.self().role == peer_role::entry;
        const std::size_t fanout = tellsAll ? gossipFanout : entriesToldByAgent;
        // Agents learn in turn from all entry VMs who else there is.
        datagram.set_wants_known(withKnown && !tellsAll);
        const auto told = m_peers.samplePreferringOwnZone(peer_role::entry, fanout, m_context.random());
        for (const auto& peer : told)
            send(peer.host, datagram);
        if (withKnown)
            askForKnown(m_peers.seedsToContact());
    }
}

void peer_exchange::announceState()
{
    if (m_announced == m_state.summary())
        return;
    m_announced = m_state.summary();
    const auto datagram = makeDatagram();
    for (const auto& peer : m_peers.live(peer_role::entry))
        send(peer.host, datagram);
}

void peer_exchange::tellRanks(const group_key& group, const group_slowdown& slowdown, const load_report_by_hash& ranks)
{
    const bool direct = m_peers.count(peer_role::entry) <= toldDirectly;
    auto common = makeDatagram();
    addGroups(common, m_groups.updates(m_context.now()));
    common.set_pass_on(!direct);
    const auto told = direct ? m_peers.live(peer_role::entry) : m_peers.onePerZone(peer_role::entry, m_context.random());
    for (const auto& datagram : rankDatagrams(common, { group, slowdown, ranks })) {
        for (const auto& peer : told)
            send(peer.host, datagram);
    }
}

awaitable<void> peer_exchange::proofLoop()
{
    for (;;) {
        co_await sleepFor(m_context.io(), proofLookInterval);
        m_state.settle();
        m_snapshots.fetchDue();
        const instant now = m_context.now();
        std::erase_if(m_questions, [now](const auto& asked) { return now - asked.second > questionLife; });
        const auto age = m_state.proofAge();
        if (!age || *age > m_settings.proofWanted || m_state.sourceLost())
            askForProof();
    }
}

void peer_exchange::askForProof()
{
    // A reader of the own zone and one of another; any peer where the readers give no proof.
    auto asked = chosenReaders(m_peers, reading_settings {});
    std::erase(asked, m_peers.self().host);
    if (asked.size() > 1)
        std::shuffle(asked.begin() + 1, asked.end(), m_context.random());
    if (asked.size() > peersAskedForProof)
        asked.resize(peersAskedForProof);
    const auto age = m_state.proofAge();
    if (!age || *age > doubtReadersAfter) {
        for (const auto& peer : m_peers.sample(peer_role::entry, 1, m_context.random()))
            asked.push_back(peer.host);
    }
    for (const auto& host : asked) {
        auto datagram = makeDatagram();
        datagram.mutable_question()->set_nonce(++m_nonce);
        m_questions[m_nonce] = m_context.now();
        send(host, datagram);
    }
}

} // namespace rampgap
