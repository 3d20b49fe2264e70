// Exchanges datagrams between the processes of the fleet: membership, the work of each process at
// each server, and freshness for a process that the store does not answer.
#pragma once

#include "gateway/fleet/snapshot_exchange.h"
#include "gateway/peers/crash_gossip.h"
#include "gateway/peers/limit_exchange.h"
#include "policy/configuration/freshness_schedule.h"
#include "policy/groups/group_directory.h"
#include "policy/membership/peer_table.h"
#include "policy/routing/load_table.h"

#include <boost/asio/ip/udp.hpp>
#include <memory>

namespace rampgap {

struct peer_exchange_settings {
    unsigned short datagramPort = 0;
    // Port of the control interface, the same on every process; 0 if there is none.
    unsigned short controlPort = 0;
    // Between two reports of the own work.
    milliseconds reportInterval { 250 };
    // How often peers are asked for their freshness. Their answers also tell of changes.
    freshness_pace freshness;
    // With a state last confirmed longer ago than this, other peers than the usual one are asked, too.
    milliseconds distrustSourceAfter { 1'750 };
};

class peer_exchange : private datagram_sender {
public:
    static result<std::unique_ptr<peer_exchange>> open(process_context&, decision_log&, fleet_state&, load_table&, group_directory&, crash_history&, server_limits&, peer_table, peer_exchange_settings);
    ~peer_exchange() override;

    void start();
    // Tells all entry VMs that this process is stopping.
    void announceLeaving();
    const peer_table& peers() const { return m_peers; }
    // Sends the summary of the own state to the entry VMs of the own zone at once if it changed, and to some of the others.
    void announceState();
    // Sends the entry VMs the number of requests at each rank: directly if they are few, otherwise
    // through one in each zone. Leaders of groups only.
    // `pass`: mean duration of the group's passes, 0 if it was not measured.
    void sendRankLoads(const group_key&, const group_slowdown&, milliseconds pass, const load_report_by_hash&);
    // Sends a change of a group's state to a few entry VMs, which gossip it; agents only.
    void publishGroupState(const group_update&);
    // Publishes new records of the crash history.
    void publishCrashes() { m_crashes.publish(); }
    // Sends the arbiters of servers with a limit queries for grants.
    void requestGrants() { m_limits.sendGrantQueries(); }
    void setSeeds(std::vector<std::string> hosts) { m_peers.setSeeds(std::move(hosts)); }
    const snapshot_exchange& snapshots() const { return m_snapshots; }
    // True if every other seed has been heard from.
    bool heardAllSeeds() const { return m_peers.seedsToContact().empty(); }

private:
    peer_exchange(process_context&, decision_log&, fleet_state&, load_table&, group_directory&, crash_history&, server_limits&, peer_table, peer_exchange_settings, boost::asio::ip::udp::socket);

    awaitable<void> receiveLoop();
    // Asks the seeds until this process holds any state.
    awaitable<void> joinLoop();
    // Asks these hosts which processes they know; their answers carry their state's summary, too.
    void requestKnownProcesses(const std::vector<std::string>& hosts);
    awaitable<void> reportLoop();
    awaitable<void> freshnessLoop();
    void recordSummary(const peer_info& sender, const state_summary&);
    void receive(const gateway::peer_datagram&, const std::string& host);
    void sendFreshnessAnswer(const gateway::peer_datagram&, const std::string& host);
    void mergeFreshnessAnswer(const gateway::peer_datagram&);
    gateway::peer_datagram makeDatagram() const override;
    // True if any state changed.
    bool mergeGroupStates(const gateway::peer_datagram&);
    void mergeRankLoads(const gateway::peer_datagram&);
    // Sends the states of the groups to random entry VMs.
    void gossipGroupStates();
    // Forwards a datagram to the entry VMs of the own zone.
    void forwardToZone(gateway::peer_datagram);
    void addKnownProcesses(gateway::peer_datagram&) const;
    void send(const std::string& host, const gateway::peer_datagram&) override;
    void requestFreshness();
    // The peers to ask for their freshness now.
    std::vector<std::string> freshnessSources() const;

    process_context& m_context;
    decision_log& m_log;
    fleet_state& m_state;
    load_table& m_loads;
    group_directory& m_groups;
    crash_history& m_history;
    peer_table m_peers;
    peer_exchange_settings m_settings;
    boost::asio::ip::udp::socket m_socket;
    snapshot_exchange m_snapshots;
    crash_gossip m_crashes;
    limit_exchange m_limits;
    std::uint64_t m_nonce = 0;
    std::map<std::uint64_t, instant> m_freshnessQueries;
    freshness_schedule m_freshness;
    bool m_leaving = false;
    state_summary m_announced;
};

} // namespace rampgap
