// Exchange of limits and grants between entry VMs: a starting VM learns the limits, one that cannot reach
// a server's arbiter sends that server nothing, and one that missed the end of a limit learns of it from
// the arbiter.
#include "gateway/peers/limit_exchange.h"

#include "daemon/boot_timer.h"
#include "gateway/peers/peer_wire.h"
#include <boost/asio/post.hpp>
#include <chrono>
#include <doctest/doctest.h>
#include <limits>
#include <memory>
#include <set>
#include <thread>
#include <unistd.h>

using namespace rampgap;

namespace {

constexpr server_hash server = 7;
constexpr int usualPriority = 2;
// Longer than the time after its start in which a process does not act as an arbiter.
constexpr milliseconds joinTime { 1'050 };
// Queries and answers of an arbiter per second, and the bound on its control traffic.
constexpr std::size_t exchangesPerSecond = 20;
constexpr std::size_t controlBytesPerSecond = 3'000;

class network;

class node : public datagram_sender {
public:
    node(network&, process_context&, decision_log&, const std::string& host);

    gateway::peer_datagram makeDatagram() const override;
    void send(const std::string& host, const gateway::peer_datagram&) override;
    bool maySend() const { return limits.maySend(server, usualPriority, boot_clock::now()); }
    void want() { limits.requestGrants("s", { server }, usualPriority, boot_clock::now()); }

    network& net;
    std::string host;
    server_limits limits;
    peer_table peers;
    limit_exchange exchange;
};

class network {
public:
    explicit network(int count)
    {
        for (int i = 0; i < count; ++i)
            nodes.push_back(std::make_unique<node>(*this, context, log, "vm" + std::to_string(i)));
        for (auto& each : nodes) {
            for (auto& other : nodes)
                each->peers.recordContact({ other->host, "a", peer_role::entry, 1 }, boot_clock::now());
        }
    }

    void deliver(const std::string& from, const std::string& to, const gateway::peer_datagram& datagram)
    {
        largest = std::max(largest, datagram.ByteSizeLong());
        if (cut.contains(from) || cut.contains(to))
            return;
        for (const auto& each : nodes) {
            if (each->host == to)
                boost::asio::post(context.io(), [raw = each.get(), from, datagram] { raw->exchange.receive(datagram, from); });
        }
    }

    void settle()
    {
        context.io().restart();
        context.io().run();
    }

    node& arbiter()
    {
        const std::string host = nodes[0]->peers.responsibleEntry("limit " + std::to_string(server));
        return *nodes[static_cast<std::size_t>(host.back() - '0')];
    }

    node& other() { return nodes[0].get() == &arbiter() ? *nodes[1] : *nodes[0]; }

    // Waits in real time, until the arbiter acts as one and has something to grant.
    static void wait(milliseconds time) { std::this_thread::sleep_for(time); }

    process_context context { "limits", "a", "test" };
    decision_log log { "limits", STDERR_FILENO };
    std::vector<std::unique_ptr<node>> nodes;
    std::set<std::string> cut;
    std::size_t largest = 0;
};

node::node(network& made, process_context& context, decision_log& log, const std::string& name)
    : net(made)
    , host(name)
    , peers({ name, "a", peer_role::entry, 1 }, {}, milliseconds(3'000))
    , exchange(context, log, limits, peers, *this)
{
    limits.onGrantQuestions([this] { exchange.sendGrantQueries(); });
}

// Fills the fields about the sender with values as large as real ones can be.
gateway::peer_datagram node::makeDatagram() const
{
    gateway::peer_datagram datagram;
    *datagram.mutable_sender() = toWire({ "127.199.199.199", "a-zone-with-a-long-name", peer_role::entry, std::numeric_limits<std::uint64_t>::max() });
    setSummary(datagram, state_summary { { 1'000, 1'000'000 }, 1 });
    datagram.set_crash_digest(1);
    return datagram;
}

void node::send(const std::string& to, const gateway::peer_datagram& datagram)
{
    net.deliver(host, to, datagram);
}

} // namespace

TEST_CASE("a starting VM learns all limits, and recent changes are gossiped")
{
    network made(3);
    node& informed = *made.nodes[0];
    node& starting = *made.nodes[1];
    informed.limits.recordAnswer(server, 2.0, boot_clock::now());
    gateway::peer_datagram updates;
    informed.exchange.addUpdates(updates);
    CHECK(updates.limits_size() == 1);
    gateway::peer_datagram known;
    informed.exchange.addKnownLimits(known);
    starting.exchange.receive(known, informed.host);
    CHECK((starting.limits.limitOf(server, boot_clock::now()) == 2.0));
}

TEST_CASE("only the arbiter of a server grants requests, and not before it knows the fleet")
{
    network made(3);
    for (auto& each : made.nodes)
        each->limits.recordAnswer(server, 20.0, boot_clock::now());
    node& requester = made.other();
    requester.want();
    made.settle();
    CHECK_FALSE(requester.maySend());
    network::wait(joinTime);
    requester.want();
    made.settle();
    network::wait(milliseconds(300));
    requester.want();
    made.settle();
    CHECK(requester.maySend());
    CHECK(made.largest * exchangesPerSecond <= controlBytesPerSecond);
}

TEST_CASE("a VM that cannot reach the arbiter of a limited server sends it nothing")
{
    network made(3);
    node& requester = made.other();
    requester.limits.recordAnswer(server, 20.0, boot_clock::now());
    made.cut.insert(made.arbiter().host);
    network::wait(joinTime);
    for (int i = 0; i < 3; ++i) {
        requester.want();
        made.settle();
        CHECK_FALSE(requester.maySend());
        network::wait(milliseconds(310));
    }
}

TEST_CASE("a VM that missed the end of a limit learns of it from the arbiter")
{
    network made(3);
    node& requester = made.other();
    requester.limits.recordAnswer(server, 20.0, boot_clock::now());
    made.arbiter().limits.recordAnswer(server, 20.0, boot_clock::now());
    made.arbiter().limits.recordAnswer(server, std::nullopt, boot_clock::now() + milliseconds(2));
    network::wait(milliseconds(5));
    requester.want();
    made.settle();
    CHECK(requester.maySend());
}
