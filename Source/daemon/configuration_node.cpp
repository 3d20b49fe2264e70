#include "daemon/configuration_node.h"

#include "daemon/log.h"
#include "daemon/scope_exit.h"
#include "daemon/sleep.h"
#include "daemon/task.h"
#include "discovery/platform_source.h"
#include "peer.pb.h"
#include "policy/configuration/reader_choice.h"
#include "policy/membership/rendezvous.h"
#include "wire/crash_codec.h"

namespace rampgap {

namespace {

    constexpr int windowSize = 8;
    constexpr milliseconds watchWait { 5'000 };
    // A process that is not a reader also reads the service now and then, in case all readers have failed.
    // The interval grows by this for each `vmsPerOwnRead` listed VMs, so that the total rate of these
    // reads does not grow with the fleet.
    constexpr milliseconds ownReadPeriod { 60'000 };
    constexpr std::size_t vmsPerOwnRead = 100;
    constexpr milliseconds retryPause { 500 };
    constexpr milliseconds readerCheck { 1'000 };
    constexpr milliseconds exchangeTimeout { 2'000 };
    // A process that has exchanged nothing with any peer for this long reads the service itself.
    constexpr milliseconds peerSilenceLimit { 10'000 };
    // A process that reaches no peer becomes ready with the declaration it has after this time.
    constexpr milliseconds confirmationGrace { 2'000 };
    constexpr int announceFanout = 4;
    constexpr std::size_t crashesPerMessage = 20;
    // Up to this many entry VMs, which choose the servers, are sent a crash record directly, and so are all
    // processes if there are no more of them: a caller may retry its request within milliseconds.
    constexpr std::size_t maxDirectRecipients = 12;
    // Longest time that a failure is held back from its caller until entry VMs know of the crash that caused it.
    constexpr milliseconds crashAnnouncementTimeout { 500 };
    constexpr milliseconds crashAnnouncementPoll { 1 };
    // Suffices for an agent that probes its engine: that takes one round trip on its own machine.
    constexpr milliseconds crashQueryTimeout { 100 };
    constexpr milliseconds secondAnnouncementDelay { 300 };
    // One random exchange in `otherZoneOneIn` goes to another zone. A process that monitors readers,
    // to replace them if they fail, sends one in `readerOneIn` to one of them.
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
    startLoop(m_context, "bootstrap", [this] { return bootstrap(); });
}

// Returns 0.75 to 1.25 times `time`, so that processes do not act at the same moment.
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
        applyVmList(std::move(vms.value()));
    co_await readWindow();
    startLoop(m_context, "watch_declarations", [this] { return watchDeclarationsLoop(); });
    startLoop(m_context, "watch_vms", [this] { return watchVmsLoop(); });
    startLoop(m_context, "exchange", [this] { return exchangeLoop(); });
}

// Reads the latest documents until a declaration is in force. If a window is too short to tell
// which declaration is in force, a longer one is read, up to the whole history.
awaitable<void> configuration_node::readWindow()
{
    for (int count = windowSize; !m_chain.inForce(); count *= windowSize) {
        const auto window = co_await m_platform.latestDeclarations(count);
        if (!window)
            co_return;
        const bool whole = window.value().size() < static_cast<std::size_t>(count);
        for (const auto& outcome : m_chain.offerWindow(window.value(), whole))
            applyOutcome(outcome, "service");
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
    const bool peersSilent = m_context.now() - m_lastPeer > peerSilenceLimit;
    return peersSilent || m_vms.vms.empty() || isChosenReader(m_context.name(), ownReaderOrder(), m_unreachable);
}

bool configuration_node::ready() const
{
    if (!m_chain.inForce())
        return false;
    return m_peerConfirmed || m_context.now() - m_context.startedAt() > confirmationGrace;
}

duration configuration_node::ownReadInterval()
{
    const auto hundreds = static_cast<int>(1 + m_vms.vms.size() / vmsPerOwnRead);
    return jittered(ownReadPeriod * hundreds);
}

// True for a reader at any time, and for any other process once per `ownReadInterval`.
bool configuration_node::mayReadService(instant& nextOwnRead)
{
    if (!isReader() && m_context.now() < nextOwnRead)
        return false;
    nextOwnRead = m_context.now() + ownReadInterval();
    return true;
}

awaitable<void> configuration_node::watchDeclarationsLoop()
{
    instant nextOwnRead = m_context.now() + ownReadInterval();
    for (;;) {
        if (!mayReadService(nextOwnRead)) {
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
            applyAndAnnounce(m_chain.offerPublished(document), "service");
    }
}

awaitable<void> configuration_node::watchVmsLoop()
{
    instant nextOwnRead = m_context.now() + ownReadInterval();
    for (;;) {
        if (!mayReadService(nextOwnRead)) {
            co_await sleepFor(m_context.io(), jittered(readerCheck));
            continue;
        }
        auto list = co_await m_platform.watchVms(m_vms.position(), watchWait);
        if (!list)
            co_await sleepFor(m_context.io(), jittered(retryPause));
        else
            applyVmList(std::move(list.value()));
    }
}

awaitable<void> configuration_node::exchangeLoop()
{
    for (;;) {
        m_crashes.expire(m_context.now());
        if (const auto peer = randomPeer())
            co_await exchangeWith(peer->address, peer->name, makeRequest());
        // A process that is not ready yet exchanges more often.
        co_await sleepFor(m_context.io(), jittered(ready() ? duration(m_settings.exchangeInterval) : duration(retryPause)));
    }
}

std::vector<configuration_node::peer_endpoint> configuration_node::peers() const
{
    std::vector<peer_endpoint> endpoints;
    for (const auto& vm : m_vms.vms) {
        if (vm.name != m_context.name() && !vm.peerAddress.empty())
            endpoints.push_back({ vm.name, vm.zone, vm.peerAddress, vm.role });
    }
    for (const auto& address : m_settings.seedPeers)
        endpoints.push_back({ address, m_context.zone(), address, std::nullopt });
    return endpoints;
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

std::optional<configuration_node::peer_endpoint> configuration_node::randomPeer()
{
    const auto all = peers();
    if (all.empty())
        return std::nullopt;
    const auto readers = monitoredBy(m_context.name(), ownReaderOrder());
    if (!readers.empty() && m_context.random()() % readerOneIn == 0) {
        const std::string& chosen = readers[m_context.random()() % readers.size()];
        const auto endpoint = std::find_if(all.begin(), all.end(), [&](const peer_endpoint& peer) { return peer.name == chosen; });
        if (endpoint != all.end())
            return *endpoint;
    }
    const bool preferOtherZone = m_context.random()() % otherZoneOneIn == 0;
    std::vector<peer_endpoint> candidates;
    for (const auto& peer : all) {
        if ((peer.zone != m_context.zone()) == preferOtherZone)
            candidates.push_back(peer);
    }
    const auto& from = candidates.empty() ? all : candidates;
    return from[m_context.random()() % from.size()];
}

wire::ExchangeRequest configuration_node::makeRequest() const
{
    wire::ExchangeRequest request;
    fillSender(request);
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
        announceCrashes();
    m_peerConfirmed = m_peerConfirmed || reply.value().sender().revision() > 0;
    for (const auto& document : reply.value().documents()) {
        if (document.kind() == wire::Document::DECLARATION) {
            applyAndAnnounce(m_chain.offer(document.text(), document_source::peer), name);
            continue;
        }
        auto list = parseVmList(document.text());
        if (list)
            applyVmList(std::move(list.value()));
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
    fillSender(reply);
    addCrashes(*reply.mutable_crashes(), m_crashes.repeated(m_context.now()));
    if (mergeCrashes(request.crashes(), m_crashes, m_context.now()))
        announceCrashes();
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
        startTask(m_context, "pull", pullFrom(request.sender().peer_address(), request.sender().name()));
    }
    m_context.counters().add(metric::exchange_bytes, static_cast<double>(reply.ByteSizeLong()));
    co_return reply;
}

awaitable<void> configuration_node::pullFrom(std::string address, std::string name)
{
    const scope_exit ended(m_context, [this] { m_pulling = false; });
    co_await exchangeWith(std::move(address), std::move(name), makeRequest());
}

// Sends the versions held here to a few random processes; those that are behind fetch the documents.
void configuration_node::announce()
{
    announce(makeRequest());
}

void configuration_node::announce(const wire::ExchangeRequest& request)
{
    const auto all = peers();
    for (int i = 0; i < announceFanout && !all.empty(); ++i)
        startTask(m_context, "announce", announceTo(all[m_context.random()() % all.size()], request));
}

awaitable<void> configuration_node::announceTo(peer_endpoint peer, wire::ExchangeRequest request)
{
    co_await exchangeWith(peer.address, peer.name, std::move(request));
}

void configuration_node::announceCrashes()
{
    const auto all = peers();
    const auto isEntry = [](const peer_endpoint& peer) { return peer.role == vm_role::entry; };
    const bool fewEntries = static_cast<std::size_t>(std::count_if(all.begin(), all.end(), isEntry)) <= maxDirectRecipients;
    const bool fewProcesses = all.size() <= maxDirectRecipients;
    while (m_crashes.hasUpdates()) {
        auto request = makeRequest();
        addCrashes(*request.mutable_crashes(), m_crashes.takeUpdates(crashesPerMessage, m_context.now()));
        for (const auto& peer : all) {
            if (fewEntries && isEntry(peer))
                startTask(m_context, "announce", announceToEntry(peer, request));
            else if (fewProcesses)
                startTask(m_context, "announce", announceTo(peer, request));
        }
        if (!fewProcesses)
            announce(request);
    }
}

awaitable<void> configuration_node::announceToEntry(peer_endpoint entry, wire::ExchangeRequest request)
{
    const bool isReachable = !m_unreachable.contains(entry.name);
    m_pendingEntryAnnouncements += isReachable ? 1 : 0;
    const scope_exit ended(m_context, [this, isReachable] { m_pendingEntryAnnouncements -= isReachable ? 1 : 0; });
    co_await exchangeWith(entry.address, entry.name, std::move(request));
}

// As soon as the caller of a lost request has its failure, it may retry through another entry VM.
awaitable<void> configuration_node::awaitCrashesAnnounced()
{
    const instant end = m_context.now() + crashAnnouncementTimeout;
    while (m_pendingEntryAnnouncements > 0 && m_context.now() < end)
        co_await sleepFor(m_context.io(), crashAnnouncementPoll);
}

awaitable<void> configuration_node::queryCrashes(request_fingerprint lost, std::string backend)
{
    const auto all = peers();
    const auto agent = std::find_if(all.begin(), all.end(), [&backend](const peer_endpoint& peer) { return peer.name == backend; });
    if (agent == all.end())
        co_return;
    auto request = makeRequest();
    request.set_asked_request(lost.value);
    const auto reply = co_await m_peers.exchange(agent->address, std::move(request), crashQueryTimeout);
    if (reply && mergeCrashes(reply.value().crashes(), m_crashes, m_context.now()))
        announceCrashes();
}

void configuration_node::applyAndAnnounce(const offer_outcome& outcome, const std::string& from)
{
    applyOutcome(outcome, from);
    if (outcome.kind != offer_kind::accepted)
        return;
    announce();
    startTask(m_context, "announce_again", repeatAnnouncement());
}

// One round of announcements misses about one process in fifty. After a second round, almost none
// has to wait for the periodic exchange.
awaitable<void> configuration_node::repeatAnnouncement()
{
    co_await sleepFor(m_context.io(), jittered(secondAnnouncementDelay));
    announce();
}

void configuration_node::applyOutcome(const offer_outcome& outcome, const std::string& from)
{
    const std::string revision = "revision=" + std::to_string(outcome.revision);
    if (outcome.kind == offer_kind::refused) {
        m_context.counters().add(metric::revisions_refused);
        m_context.recordEvent(event_kind::revision_refused, "", revision + " from=" + from + " reason=" + outcome.reason);
        logWarning("revision_refused", revision + " from=" + from + " reason=\"" + outcome.reason + "\"");
        return;
    }
    if (outcome.kind != offer_kind::accepted)
        return;
    m_source = from;
    m_inForceSince = m_context.now();
    m_context.counters().add(metric::revisions_accepted);
    m_context.counters().set(metric::revision_in_force, static_cast<double>(m_chain.revision()));
    m_context.recordEvent(event_kind::revision_in_force, "", revision + " from=" + from);
    logStateChange("revision_in_force", revision + " from=" + from);
    m_listener.onDeclaration(m_chain.inForce());
}

void configuration_node::applyVmList(vm_list list)
{
    // A service that was restored from an older copy assigns the same versions again, in a higher epoch.
    // So the epoch is compared first: by the version alone, VMs added since the restoration would not be
    // used until the version exceeds that of the list before it.
    if (list.position() <= m_vms.position())
        return;
    m_vms = std::move(list);
    m_listener.onVmList(m_vms);
    announce();
}

} // namespace rampgap
