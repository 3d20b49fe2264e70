// Keeps a process up to date with the latest accepted declaration and the VM list.
#pragma once

#include "daemon/peer_link.h"
#include "daemon/settings.h"
#include "discovery/vm_list.h"
#include "policy/configuration/revision_chain.h"
#include "policy/requests/crash_history.h"

namespace rampgap {

class platform_source;

// Called at each change, on the process's thread.
class configuration_listener {
public:
    virtual ~configuration_listener() = default;

    virtual void onDeclaration(std::shared_ptr<const declaration>) = 0;
    virtual void onVmList(const vm_list&) { }
};

// A few readers of each zone, chosen by rendezvous hashing among the listed entry VMs,
// watch the configuration service. All others are updated by gossip: a process that has a new
// revision announces it, a process that receives an announcement fetches the revision, and a
// periodic exchange with random processes makes up for announcements that were missed.
class configuration_node {
public:
    configuration_node(process_context&, const process_settings&, platform_source&, peer_client&, crash_history&, configuration_listener&);

    // Starts to read and to exchange configuration. `peerAddress`: where this process accepts messages of
    // other rampgap processes.
    void start(std::string peerAddress);

    awaitable<wire::ExchangeReply> onExchange(wire::ExchangeRequest);
    // True if rendezvous hashing of `key` picks this process among the entry VMs listed as live.
    // Processes with the same list agree on the pick.
    bool isResponsibleEntry(std::string_view key) const;
    // Sends new crash records: directly to all entry VMs if there are few of them, and to all processes
    // of a small fleet. In a larger fleet a few random processes get them, too, and forward them.
    void announceCrashes();
    // Asks the agent of a backend server for its crash records of a request that was lost there.
    awaitable<void> queryCrashes(request_fingerprint, std::string backend);
    // Returns when all reachable entry VMs have acknowledged what `announceCrashes` sent them directly,
    // or after a timeout.
    awaitable<void> awaitCrashesAnnounced();
    // Fills in the sender fields of a message with the state of this process.
    template <class Message>
    void fillSender(Message& message) const
    {
        auto* sender = message.mutable_sender();
        sender->set_name(m_context.name());
        sender->set_zone(m_context.zone());
        sender->set_incarnation(m_context.incarnation());
        sender->set_revision(m_chain.revision());
        sender->set_clock(m_context.timeline().clock());
        sender->set_peer_address(m_peerAddress);
    }

    const revision_chain& chain() const { return m_chain; }
    const vm_list& vms() const { return m_vms; }
    bool isReader() const;
    // True once a declaration is in force, and in addition either a peer with a declaration has answered or
    // the grace period after the start is over.
    bool ready() const;
    // Where the revision in force came from: "service", a peer's name, or "" if none was received.
    const std::string& source() const { return m_source; }
    instant inForceSince() const { return m_inForceSince; }

private:
    awaitable<void> bootstrap();
    awaitable<void> readWindow();
    awaitable<void> watchDeclarationsLoop();
    awaitable<void> watchVmsLoop();
    awaitable<void> exchangeLoop();
    awaitable<result<void>> exchangeWith(std::string address, std::string name, wire::ExchangeRequest);
    awaitable<void> pullFrom(std::string address, std::string name);
    void announce();
    void announce(const wire::ExchangeRequest&);
    awaitable<void> repeatAnnouncement();
    duration ownReadInterval();
    wire::ExchangeRequest makeRequest() const;
    void applyAndAnnounce(const offer_outcome&, const std::string& from);
    void applyOutcome(const offer_outcome&, const std::string& from);
    void applyVmList(vm_list);
    struct peer_endpoint {
        std::string name;
        std::string zone;
        std::string address;
        // Empty for a seed peer, of which only the address is known.
        std::optional<vm_role> role;
    };
    awaitable<void> announceTo(peer_endpoint, wire::ExchangeRequest);
    // Sends crash records to an entry VM. Counts as pending until it has acknowledged them.
    awaitable<void> announceToEntry(peer_endpoint, wire::ExchangeRequest);
    std::vector<peer_endpoint> peers() const;
    std::vector<std::string> ownReaderOrder() const;
    bool mayReadService(instant& nextOwnRead);
    std::optional<peer_endpoint> randomPeer();
    duration jittered(duration);

    process_context& m_context;
    const process_settings& m_settings;
    platform_source& m_platform;
    peer_client& m_peers;
    crash_history& m_crashes;
    configuration_listener& m_listener;
    std::string m_peerAddress;
    revision_chain m_chain;
    vm_list m_vms;
    std::string m_source;
    instant m_inForceSince;
    instant m_lastPeer;
    // Names of processes whose last exchange with this process failed.
    std::set<std::string> m_unreachable;
    // Direct crash announcements that entry VMs have not acknowledged yet.
    int m_pendingEntryAnnouncements = 0;
    bool m_peerConfirmed = false;
    bool m_pulling = false;
};

} // namespace rampgap
