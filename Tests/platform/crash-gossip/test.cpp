// Entry VMs that do not reach each other hear of a request that ends servers through the agents,
// and so do entry VMs that were all started anew.
#include "gateway/crash_gossip.h"

#include "daemon/boot_timer.h"
#include <boost/asio/post.hpp>
#include <doctest/doctest.h>
#include <memory>
#include <set>

using namespace rampgap;

namespace {

constexpr request_fingerprint guilty { 1 };
// Between two reports of a process; longer than that between two answers to such as lack something.
constexpr milliseconds reportPause { 110 };

class network;

// One process: what it knows, and how it sends.
class node : public datagram_sender {
public:
    node(network&, process_context&, std::string host, peer_role);

    gateway::peer_datagram makeDatagram() const override;
    void send(const std::string& host, const gateway::peer_datagram&) override;
    bool bars() const { return history.barredFor(guilty, boot_clock::now()).has_value(); }

    network& wires;
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

    // Each process reports to each other one; then all that follows from it happens.
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
    : wires(all)
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
    wires.deliver(host, to, datagram);
}

void crashTwice(node& where)
{
    for (const std::uint32_t server : { 10U, 11U })
        where.history.noteCrash(guilty, server, 0, boot_clock::now());
    where.gossip.publish();
}

} // namespace

TEST_CASE("entry VMs that are cut off from each other hear of it through an agent")
{
    network all;
    node& first = all.add("e1", peer_role::entry);
    node& second = all.add("e2", peer_role::entry);
    all.add("a1", peer_role::agent);
    all.cut.insert({ "e1", "e2" });
    crashTwice(first);
    REQUIRE_FALSE(second.bars());
    for (int i = 0; i < 5 && !second.bars(); ++i)
        all.report();
    CHECK(second.bars());
}

TEST_CASE("an entry VM that was started anew hears of it from an agent, with no other left")
{
    network all;
    node& agent = all.add("a1", peer_role::agent);
    {
        node& before = all.add("e1", peer_role::entry);
        crashTwice(before);
        for (int i = 0; i < 5 && !agent.bars(); ++i)
            all.report();
    }
    REQUIRE(agent.bars());
    all.nodes.pop_back();
    node& after = all.add("e1", peer_role::entry);
    for (int i = 0; i < 5 && !after.bars(); ++i)
        all.report();
    CHECK(after.bars());
}

TEST_CASE("where all know the same nothing is sent but the reports")
{
    network all;
    node& first = all.add("e1", peer_role::entry);
    node& second = all.add("e2", peer_role::entry);
    crashTwice(first);
    for (int i = 0; i < 5 && !second.bars(); ++i)
        all.report();
    REQUIRE(first.history.digest() == second.history.digest());
    const auto before = first.makeDatagram();
    CHECK(before.crashes().empty());
    CHECK_FALSE(first.history.hasNews());
    CHECK_FALSE(second.history.hasNews());
}
