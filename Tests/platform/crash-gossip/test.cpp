// Agents store crash records: entry VMs that cannot reach each other learn of a crashing request through
// an agent, and so do entry VMs that have all been restarted.
#include "gateway/peers/crash_gossip.h"

#include "daemon/boot_timer.h"
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <memory>
#include <set>

using namespace rampgap;

namespace {

constexpr request_fingerprint crashingRequest { 1 };
// Between two reports of a process; longer than the pause between two replies to peers that lack records.
constexpr milliseconds reportPause { 110 };

class network;

// One process with its crash history; sends through the network below.
class node : public datagram_sender {
public:
    node(network&, process_context&, std::string host, peer_role);

    gateway::peer_datagram makeDatagram() const override;
    void send(const std::string& host, const gateway::peer_datagram&) override;
    bool blocks() const { return history.blockedFor(crashingRequest, boot_clock::now()).has_value(); }

    network& net;
    std::string host;
    crash_history history;
    peer_table peers;
    crash_gossip gossip;
};

// Delivers datagrams between processes that are not cut off from each other.
class network {
public:
    node& add(const std::string& host, peer_role role)
    {
        nodes.push_back(std::make_unique<node>(*this, context, host, role));
        return *nodes.back();
    }

    void deliver(const std::string& from, const std::string& to, gateway::peer_datagram datagram)
    {
        if (cut.contains({ from, to }) || cut.contains({ to, from }))
            return;
        for (const auto& each : nodes) {
            if (each->host == to)
                boost::asio::post(context.io(), [raw = each.get(), from, datagram = std::move(datagram)] { raw->gossip.receive(datagram, from); });
        }
    }

    // Sends a report from each process to each other one, and runs until all datagrams are handled.
    void report()
    {
        for (const auto& from : nodes) {
            for (const auto& to : nodes) {
                if (from != to)
                    from->send(to->host, from->makeDatagram());
            }
        }
        boot_timer pause(context.io(), reportPause);
        pause.async_wait([](boost::system::error_code) {});
        context.io().restart();
        context.io().run();
    }

    process_context context { "test", "a", "entry" };
    std::vector<std::unique_ptr<node>> nodes;
    std::set<std::pair<std::string, std::string>> cut;
};

node::node(network& all, process_context& context, std::string name, peer_role role)
    : net(all)
    , host(name)
    , peers({ std::move(name), "a", role, 1 }, {}, milliseconds(3'000))
    , gossip(context, history, peers, *this)
{
}

gateway::peer_datagram node::makeDatagram() const
{
    gateway::peer_datagram datagram;
    datagram.set_crash_digest(history.digest());
    return datagram;
}

void node::send(const std::string& to, const gateway::peer_datagram& datagram)
{
    net.deliver(host, to, datagram);
}

void crashTwice(node& seenBy)
{
    for (const std::uint32_t server : { 10U, 11U })
        seenBy.history.recordCrash(crashingRequest, server, 0, boot_clock::now());
    seenBy.gossip.publish();
}

} // namespace

TEST_CASE("entry VMs that are cut off from each other learn of a blocked request through an agent")
{
    network all;
    node& first = all.add("e1", peer_role::entry);
    node& second = all.add("e2", peer_role::entry);
    all.add("a1", peer_role::agent);
    all.cut.insert({ "e1", "e2" });
    crashTwice(first);
    REQUIRE_FALSE(second.blocks());
    for (int i = 0; i < 5 && !second.blocks(); ++i)
        all.report();
    CHECK(second.blocks());
}

TEST_CASE("a restarted entry VM learns of a blocked request from an agent when no other entry VM is left")
{
    network all;
    node& agent = all.add("a1", peer_role::agent);
    {
        node& before = all.add("e1", peer_role::entry);
        crashTwice(before);
        for (int i = 0; i < 5 && !agent.blocks(); ++i)
            all.report();
    }
    REQUIRE(agent.blocks());
    all.nodes.pop_back();
    node& after = all.add("e1", peer_role::entry);
    for (int i = 0; i < 5 && !after.blocks(); ++i)
        all.report();
    CHECK(after.blocks());
}

TEST_CASE("processes that know the same records send no crash records")
{
    network all;
    node& first = all.add("e1", peer_role::entry);
    node& second = all.add("e2", peer_role::entry);
    crashTwice(first);
    for (int i = 0; i < 5 && !second.blocks(); ++i)
        all.report();
    REQUIRE(first.history.digest() == second.history.digest());
    const auto before = first.makeDatagram();
    CHECK(before.crashes().empty());
    CHECK_FALSE(first.history.hasUpdates());
    CHECK_FALSE(second.history.hasUpdates());
}
