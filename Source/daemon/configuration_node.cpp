#include "daemon/configuration_node.h"

#include "daemon/log.h"
#include "daemon/sleep.h"
#include "discovery/platform_source.h"
#include "peer.pb.h"
#include "policy/reader_choice.h"
#include "policy/rendezvous.h"
#include "wire/crash_codec.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    constexpr int windowSize = 8;
    constexpr milliseconds watchWait { 5'000 };
    // Every process looks at the service itself this often for each hundred listed VMs,
    // should all readers be gone: the reads of a growing fleet stay the same.
    constexpr milliseconds ownLookEvery { 60'000 };
    constexpr std::size_t vmsPerLook = 100;
    constexpr milliseconds retryPause { 500 };
    constexpr milliseconds readerCheck { 1'000 };
    constexpr milliseconds exchangeTimeout { 2'000 };
    // Without word from any peer for this long, a process reads the service itself.
    constexpr milliseconds lonelyAfter { 10'000 };
    // A process whose peers are all out of reach serves what it has after this.
    constexpr milliseconds confirmGrace { 2'000 };
    constexpr int announceFanout = 4;
    constexpr std::size_t crashesPerMessage = 20;
    // So few entry VMs, which pick the servers, are all told of a crash at once, and so few processes
    // in all: a caller comes again within milliseconds.
    constexpr std::size_t toldDirectly = 12;
    // A caller waits for its failure no longer than this until entry VMs know of the crash behind it.
    constexpr milliseconds crashToldTimeout { 500 };
    constexpr milliseconds crashToldPoll { 1 };
    // A look at an engine takes a round trip on the machine.
    constexpr milliseconds crashAnswerTimeout { 100 };
    constexpr milliseconds secondAnnouncement { 300 };
    // One exchange in this many goes to another zone; a standby's every second one to a reader.
    constexpr unsigned otherZoneOneIn = 4;
    constexpr unsigned readerOneIn = 2;

} // namespace

configuration_node::configuration_node(process_context& context, const process_settings& settings, platform_source& platform, peer_client& peers, crash_history& crashes, configuration_listener& listener)
    : m_context(context)
    , m_settings(settings)
    , m_platform(platform)
    , m_peers(peers)
    , m_crashes(crashes)
    , m_listener(listener)
    , m_lastPeer(context.now())
{
}

void configuration_node::start(std::string peerAddress)
{
    m_peerAddress = std::move(peerAddress);
    asio::co_spawn(m_context.io(), bootstrap(), asio::detached);
}

// Between 0.75 and 1.25 times `time`, so that processes do not act in step.
duration configuration_node::jittered(duration time)
{
    return time * (750 + static_cast<int>(m_context.random()() % 501)) / 1000;
}

awaitable<void> configuration_node::bootstrap()
{
    for (const auto& address : m_settings.seedPeers)
        co_await exchangeWith(address, address, makeRequest());
    auto vms = co_await m_platform.watchVms({}, milliseconds(0));
    if (vms)
        takeVms(std::move(vms.value()));
    co_await readWindow();
    asio::co_spawn(m_context.io(), watchDeclarationsLoop(), asio::detached);
    asio::co_spawn(m_context.io(), watchVmsLoop(), asio::detached);
    asio::co_spawn(m_context.io(), exchangeLoop(), asio::detached);
}

// Reads the latest documents; for a process that has none in force. A window that does
// not show what was in force is made longer, up to the whole history.
awaitable<void> configuration_node::readWindow()
{
    for (int count = windowSize; !m_chain.inForce(); count *= windowSize) {
        const auto window = co_await m_platform.latestDeclarations(count);
        if (!window)
            co_return;
        const bool whole = window.value().size() < static_cast<std::size_t>(count);
        for (const auto& outcome : m_chain.offerWindow(window.value(), whole))
            report(outcome, "service");
        if (whole)
            break;
    }
    if (m_chain.inForce())
        announce();
}

std::vector<std::string> configuration_node::ownReaderOrder() const
{
    std::vector<std::string> entries;
    for (const auto& vm : m_vms.vms) {
        if (vm.role == vm_role::entry && vm.zone == m_context.zone() && vm.state == vm_state::live)
            entries.push_back(vm.name);
    }
    return readerOrder(entries);
}

bool configuration_node::isReader() const
{
    const bool lonely = m_context.now() - m_lastPeer > lonelyAfter;
    return lonely || m_vms.vms.empty() || isChosenReader(m_context.name(), ownReaderOrder(), m_unreachable);
}

bool configuration_node::ready() const
{
    if (!m_chain.inForce())
        return false;
    return m_peerSeen || m_context.now() - m_context.startedAt() > confirmGrace;
}

duration configuration_node::ownLookPause()
{
    const auto hundreds = static_cast<int>(1 + m_vms.vms.size() / vmsPerLook);
    return jittered(ownLookEvery * hundreds);
}

// A reader always may; any other process once in a while.
bool configuration_node::mayLook(instant& nextOwnLook)
{
    if (!isReader() && m_context.now() < nextOwnLook)
        return false;
    nextOwnLook = m_context.now() + ownLookPause();
    return true;
}

awaitable<void> configuration_node::watchDeclarationsLoop()
{
    instant nextOwnLook = m_context.now() + ownLookPause();
    for (;;) {
        if (!mayLook(nextOwnLook)) {
            co_await sleepFor(m_context.io(), jittered(readerCheck));
            continue;
        }
        if (!m_chain.inForce()) {
            co_await readWindow();
            co_await sleepFor(m_context.io(), jittered(retryPause));
            continue;
        }
        const auto documents = co_await m_platform.watchDeclarations(m_chain.highestSeen(), watchWait);
        if (!documents) {
            co_await sleepFor(m_context.io(), jittered(retryPause));
            continue;
        }
        for (const auto& document : documents.value())
            takeOutcome(m_chain.offerPublished(document), "service");
    }
}

awaitable<void> configuration_node::watchVmsLoop()
{
    instant nextOwnLook = m_context.now() + ownLookPause();
    for (;;) {
        if (!mayLook(nextOwnLook)) {
            co_await sleepFor(m_context.io(), jittered(readerCheck));
            continue;
        }
        auto list = co_await m_platform.watchVms(m_vms.position(), watchWait);
        if (!list)
            co_await sleepFor(m_context.io(), jittered(retryPause));
        else
            takeVms(std::move(list.value()));
    }
}

awaitable<void> configuration_node::exchangeLoop()
{
    for (;;) {
        m_crashes.expire(m_context.now());
        if (const auto peer = randomPeer())
            co_await exchangeWith(peer->address, peer->name, makeRequest());
        // Until it is ready, a process asks more often.
        co_await sleepFor(m_context.io(), jittered(ready() ? duration(m_settings.exchangeInterval) : duration(retryPause)));
    }
}

std::vector<configuration_node::peer_place> configuration_node::peers() const
{
    std::vector<peer_place> places;
    for (const auto& vm : m_vms.vms) {
        if (vm.name != m_context.name() && !vm.peerAddress.empty())
            places.push_back({ vm.name, vm.zone, vm.peerAddress, vm.role });
    }
    for (const auto& address : m_settings.seedPeers)
        places.push_back({ address, m_context.zone(), address, std::nullopt });
    return places;
}

bool configuration_node::isResponsibleEntry(std::string_view key) const
{
    std::vector<std::string> names { m_context.name() };
    for (const auto& vm : m_vms.vms) {
        if (vm.role == vm_role::entry && vm.state == vm_state::live && vm.name != m_context.name())
            names.push_back(vm.name);
    }
    return rendezvousPick(key, names) == m_context.name();
}

std::optional<configuration_node::peer_place> configuration_node::randomPeer()
{
    const auto all = peers();
    if (all.empty())
        return std::nullopt;
    const auto readers = monitoredBy(m_context.name(), ownReaderOrder());
    if (!readers.empty() && m_context.random()() % readerOneIn == 0) {
        const std::string& chosen = readers[m_context.random()() % readers.size()];
        const auto place = std::find_if(all.begin(), all.end(), [&](const peer_place& peer) { return peer.name == chosen; });
        if (place != all.end())
            return *place;
    }
    const bool wantOther = m_context.random()() % otherZoneOneIn == 0;
    std::vector<peer_place> wanted;
    for (const auto& peer : all) {
        if ((peer.zone != m_context.zone()) == wantOther)
            wanted.push_back(peer);
    }
    const auto& from = wanted.empty() ? all : wanted;
    return from[m_context.random()() % from.size()];
}

wire::ExchangeRequest configuration_node::makeRequest() const
{
    wire::ExchangeRequest request;
    stamp(request);
    request.set_vm_list_version(m_vms.version);
    request.set_vm_list_epoch(m_vms.epoch);
    addCrashes(*request.mutable_crashes(), m_crashes.repeated(m_context.now()));
    return request;
}

awaitable<result<void>> configuration_node::exchangeWith(std::string address, std::string name, wire::ExchangeRequest request)
{
    m_context.counters().add(metric::exchanges_sent);
    m_context.counters().add(metric::exchange_bytes, static_cast<double>(request.ByteSizeLong()));
    auto reply = co_await m_peers.exchange(std::move(address), std::move(request), exchangeTimeout);
    if (!reply) {
        m_unreachable.insert(name);
        co_return reply.error();
    }
    m_unreachable.erase(name);
    m_context.counters().add(metric::exchange_bytes, static_cast<double>(reply.value().ByteSizeLong()));
    m_context.timeline().observe(reply.value().sender().clock());
    m_lastPeer = m_context.now();
    if (mergeCrashes(reply.value().crashes(), m_crashes, m_context.now()))
        tellCrashes();
    m_peerSeen = m_peerSeen || reply.value().sender().revision() > 0;
    for (const auto& document : reply.value().documents()) {
        if (document.kind() == wire::Document::DECLARATION) {
            takeOutcome(m_chain.offer(document.text(), document_source::peer), name);
            continue;
        }
        auto list = parseVmList(document.text());
        if (list)
            takeVms(std::move(list.value()));
    }
    co_return boost::outcome_v2::success();
}

awaitable<wire::ExchangeReply> configuration_node::onExchange(wire::ExchangeRequest request)
{
    m_context.counters().add(metric::exchanges_received);
    m_context.counters().add(metric::exchange_bytes, static_cast<double>(request.ByteSizeLong()));
    m_context.timeline().observe(request.sender().clock());
    m_lastPeer = m_context.now();
    m_unreachable.erase(request.sender().name());
    wire::ExchangeReply reply;
    stamp(reply);
    addCrashes(*reply.mutable_crashes(), m_crashes.repeated(m_context.now()));
    if (mergeCrashes(request.crashes(), m_crashes, m_context.now()))
        tellCrashes();
    addCrashes(*reply.mutable_crashes(), m_crashes.recordsOf({ request.asked_request() }, m_context.now()));
    reply.set_vm_list_version(m_vms.version);
    reply.set_vm_list_epoch(m_vms.epoch);
    for (auto& text : m_chain.after(request.sender().revision())) {
        auto* document = reply.add_documents();
        document->set_kind(wire::Document::DECLARATION);
        document->set_text(std::move(text));
    }
    const store_position senderList { request.vm_list_epoch(), request.vm_list_version() };
    if (senderList < m_vms.position()) {
        auto* document = reply.add_documents();
        document->set_kind(wire::Document::VM_LIST);
        document->set_version(m_vms.version);
        document->set_text(toJson(m_vms));
    }
    const bool behind = request.sender().revision() > m_chain.revision() || senderList > m_vms.position();
    if (behind && !m_pulling && !m_context.isCut(request.sender().peer_address())) {
        m_pulling = true;
        asio::co_spawn(m_context.io(), pullFrom(request.sender().peer_address(), request.sender().name()), asio::detached);
    }
    m_context.counters().add(metric::exchange_bytes, static_cast<double>(reply.ByteSizeLong()));
    co_return reply;
}

awaitable<void> configuration_node::pullFrom(std::string address, std::string name)
{
    co_await exchangeWith(std::move(address), std::move(name), makeRequest());
    m_pulling = false;
}

// Tells a few random processes that there is something new; they fetch it.
void configuration_node::announce()
{
    announce(makeRequest());
}

void configuration_node::announce(const wire::ExchangeRequest& request)
{
    const auto all = peers();
    for (int i = 0; i < announceFanout && !all.empty(); ++i)
        asio::co_spawn(m_context.io(), announceTo(all[m_context.random()() % all.size()], request), asio::detached);
}

awaitable<void> configuration_node::announceTo(peer_place peer, wire::ExchangeRequest request)
{
    co_await exchangeWith(peer.address, peer.name, std::move(request));
}

void configuration_node::tellCrashes()
{
    const auto all = peers();
    const auto isEntry = [](const peer_place& peer) { return peer.role == vm_role::entry; };
    const bool fewEntries = static_cast<std::size_t>(std::count_if(all.begin(), all.end(), isEntry)) <= toldDirectly;
    const bool few = all.size() <= toldDirectly;
    while (m_crashes.hasUpdates()) {
        auto request = makeRequest();
        addCrashes(*request.mutable_crashes(), m_crashes.takeUpdates(crashesPerMessage, m_context.now()));
        for (const auto& peer : all) {
            if (fewEntries && isEntry(peer))
                asio::co_spawn(m_context.io(), tellEntry(peer, request), asio::detached);
            else if (few)
                asio::co_spawn(m_context.io(), announceTo(peer, request), asio::detached);
        }
        if (!few)
            announce(request);
    }
}

awaitable<void> configuration_node::tellEntry(peer_place entry, wire::ExchangeRequest request)
{
    const bool isInReach = !m_unreachable.contains(entry.name);
    m_entriesBeingTold += isInReach ? 1 : 0;
    co_await exchangeWith(entry.address, entry.name, std::move(request));
    m_entriesBeingTold -= isInReach ? 1 : 0;
}

// The caller of a lost request may come again with its answer in hand, at another entry VM.
awaitable<void> configuration_node::awaitCrashesTold()
{
    const instant end = m_context.now() + crashToldTimeout;
    while (m_entriesBeingTold > 0 && m_context.now() < end)
        co_await sleepFor(m_context.io(), crashToldPoll);
}

awaitable<void> configuration_node::askAbout(request_fingerprint lost, std::string backend)
{
    const auto all = peers();
    const auto agent = std::find_if(all.begin(), all.end(), [&backend](const peer_place& peer) { return peer.name == backend; });
    if (agent == all.end())
        co_return;
    auto request = makeRequest();
    request.set_asked_request(lost.value);
    const auto reply = co_await m_peers.exchange(agent->address, std::move(request), crashAnswerTimeout);
    if (reply && mergeCrashes(reply.value().crashes(), m_crashes, m_context.now()))
        tellCrashes();
}

void configuration_node::takeOutcome(const offer_outcome& outcome, const std::string& from)
{
    report(outcome, from);
    if (outcome.kind != offer_kind::accepted)
        return;
    announce();
    asio::co_spawn(m_context.io(), announceLater(), asio::detached);
}

// One round of announcements misses a process in fifty; a second leaves next to none to
// the slow exchange.
awaitable<void> configuration_node::announceLater()
{
    co_await sleepFor(m_context.io(), jittered(secondAnnouncement));
    announce();
}

void configuration_node::report(const offer_outcome& outcome, const std::string& from)
{
    const std::string revision = "revision=" + std::to_string(outcome.revision);
    if (outcome.kind == offer_kind::refused) {
        m_context.counters().add(metric::revisions_refused);
        m_context.note(event_kind::revision_refused, "", revision + " from=" + from + " reason=" + outcome.reason);
        logProblem("revision_refused", revision + " from=" + from + " reason=\"" + outcome.reason + "\"");
        return;
    }
    if (outcome.kind != offer_kind::accepted)
        return;
    m_source = from;
    m_inForceSince = m_context.now();
    m_context.counters().add(metric::revisions_accepted);
    m_context.counters().set(metric::revision_in_force, static_cast<double>(m_chain.revision()));
    m_context.note(event_kind::revision_in_force, "", revision + " from=" + from);
    logState("revision_in_force", revision + " from=" + from);
    m_listener.onDeclaration(m_chain.inForce());
}

void configuration_node::takeVms(vm_list list)
{
    // Versions are given out again after the service was restored: a list of the later epoch
    // is the newer, or VMs that were added since would not be asked until its version passes.
    if (list.position() <= m_vms.position())
        return;
    m_vms = std::move(list);
    m_listener.onVmList(m_vms);
    announce();
}

} // namespace rampgap
