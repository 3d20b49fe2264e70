// Keeps one process at the latest accepted declaration and VM list.
#pragma once

#include "daemon/peer_link.h"
#include "daemon/settings.h"
#include "discovery/vm_list.h"
#include "policy/crash_history.h"
#include "policy/revision_chain.h"

namespace rampgap {

class platform_source;

// Told of each change, on the process's thread.
class configuration_listener {
public:
    virtual ~configuration_listener() = default;

    virtual void onDeclaration(std::shared_ptr<const declaration>) = 0;
    virtual void onVmList(const vm_list&) { }
};

// A few readers of each zone, chosen by rendezvous hashing among the listed entry VMs,
// watch the configuration service. All others get the news from processes: who has a new
// revision announces it, who hears of one fetches it, and a slow exchange with random
// processes repairs what was missed.
class configuration_node {
public:
    configuration_node(process_context&, const process_settings&, platform_source&, peer_client&, crash_history&, configuration_listener&);

    // Starts the loops. `peerAddress` is where this process's peer server listens.
    void start(std::string peerAddress);

    awaitable<wire::ExchangeReply> onExchange(wire::ExchangeRequest);
    // Of the entry VMs listed as live this one is picked for `key`; all that have the same list agree.
    bool isResponsibleEntry(std::string_view key) const;
    // Tells a few random processes what is new in the history of crashes; they tell others.
    void tellCrashes();
    // Learns what the agent of a backend server knows of a request that was lost there.
    awaitable<void> askAbout(request_fingerprint, std::string backend);
    // Returns when the entry VMs in reach have what `tellCrashes` told them directly, or after a
    // moment.
    awaitable<void> awaitCrashesTold();
    // Fills in what this process says of itself.
    template <class Message>
    void stamp(Message& message) const
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
    // True once a declaration is in force and a peer, or a grace time, has confirmed it.
    bool ready() const;
    // Where the revision in force came from: "service", a peer's name or "".
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
    awaitable<void> announceLater();
    duration ownLookPause();
    wire::ExchangeRequest makeRequest() const;
    void takeOutcome(const offer_outcome&, const std::string& from);
    void report(const offer_outcome&, const std::string& from);
    void takeVms(vm_list);
    struct peer_place {
        std::string name;
        std::string zone;
        std::string address;
        // Empty for a seed, of which only the address is known.
        std::optional<vm_role> role;
    };
    awaitable<void> announceTo(peer_place, wire::ExchangeRequest);
    // Tells an entry VM of crashes; counts while it has not acknowledged them.
    awaitable<void> tellEntry(peer_place, wire::ExchangeRequest);
    std::vector<peer_place> peers() const;
    std::vector<std::string> ownReaderOrder() const;
    bool mayLook(instant& nextOwnLook);
    std::optional<peer_place> randomPeer();
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
    // Names of processes whose last exchange with us failed.
    std::set<std::string> m_unreachable;
    // Entry VMs that are being told of crashes.
    int m_entriesBeingTold = 0;
    bool m_peerSeen = false;
    bool m_pulling = false;
};

} // namespace rampgap
