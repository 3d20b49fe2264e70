// Words about limits and grants between entry VMs: who starts learns them, who reaches no arbiter
// sends nothing, and who missed the end of a limit hears of it from the arbiter.
#include "gateway/limit_exchange.h"

#include "daemon/boot_timer.h"
#include "gateway/peer_wire.h"
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
constexpr int usual = 2;
// A process that starts does not yet take itself for an arbiter.
constexpr milliseconds joinTime { 1'050 };
// Questions and answers that an arbiter has in a second, and its control traffic.
constexpr std::size_t exchangesPerSecond = 20;
constexpr std::size_t controlBytesPerSecond = 3'000;

class network;

class node : public datagram_sender {
public:
    node(network&, process_context&, decision_log&, const std::string& host);

    gateway::peer_datagram makeDatagram() const override;
    void send(const std::string& host, const gateway::peer_datagram&) override;
    bool maySend() const { return limits.maySend(server, usual, boot_clock::now()); }
    void want() { limits.want("s", { server }, usual, boot_clock::now()); }

    network& wires;
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
                each->peers.noteHeard({ other->host, "a", peer_role::entry, 1 }, boot_clock::now());
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
        const std::string host = nodes[0]->peers.pickedEntry("limit " + std::to_string(server));
        return *nodes[static_cast<std::size_t>(host.back() - '0')];
    }

    node& other() { return nodes[0].get() == &arbiter() ? *nodes[1] : *nodes[0]; }

    // Until the arbiter takes itself for one and has something to grant.
    static void pass(milliseconds time) { std::this_thread::sleep_for(time); }

    process_context context { "limits", "a", "test" };
    decision_log log { "limits", STDERR_FILENO };
    std::vector<std::unique_ptr<node>> nodes;
    std::set<std::string> cut;
    std::size_t largest = 0;
};

node::node(network& made, process_context& context, decision_log& log, const std::string& name)
    : wires(made)
    , host(name)
    , peers({ name, "a", peer_role::entry, 1 }, {}, milliseconds(3'000))
    , exchange(context, log, limits, peers, *this)
{
    limits.onQuestions([this] { exchange.sendGrantQueries(); });
}

// With as much as a real one says of its sender.
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
    wires.deliver(host, to, datagram);
}

} // namespace

TEST_CASE("who starts learns of limits, and of a change while it is new")
{
    network made(3);
    node& knows = *made.nodes[0];
    node& starts = *made.nodes[1];
    knows.limits.noteAnswer(server, 2.0, boot_clock::now());
    gateway::peer_datagram news;
    knows.exchange.addUpdates(news);
    CHECK(news.limits_size() == 1);
    gateway::peer_datagram known;
    knows.exchange.addKnownLimits(known);
    starts.exchange.receive(known, knows.host);
    CHECK((starts.limits.limitOf(server, boot_clock::now()) == 2.0));
}

TEST_CASE("the arbiter grants what is asked of it, and nobody else does")
{
    network made(3);
    for (auto& each : made.nodes)
        each->limits.noteAnswer(server, 20.0, boot_clock::now());
    node& asks = made.other();
    asks.want();
    made.settle();
    CHECK_FALSE(asks.maySend());
    network::pass(joinTime);
    asks.want();
    made.settle();
    network::pass(milliseconds(300));
    asks.want();
    made.settle();
    CHECK(asks.maySend());
    CHECK(made.largest * exchangesPerSecond <= controlBytesPerSecond);
}

TEST_CASE("who does not reach the arbiter of a limit sends nothing")
{
    network made(3);
    node& asks = made.other();
    asks.limits.noteAnswer(server, 20.0, boot_clock::now());
    made.cut.insert(made.arbiter().host);
    network::pass(joinTime);
    for (int i = 0; i < 3; ++i) {
        asks.want();
        made.settle();
        CHECK_FALSE(asks.maySend());
        network::pass(milliseconds(310));
    }
}

TEST_CASE("who missed the end of a limit hears of it from the arbiter")
{
    network made(3);
    node& asks = made.other();
    asks.limits.noteAnswer(server, 20.0, boot_clock::now());
    made.arbiter().limits.noteAnswer(server, 20.0, boot_clock::now());
    made.arbiter().limits.noteAnswer(server, std::nullopt, boot_clock::now() + milliseconds(2));
    network::pass(milliseconds(5));
    asks.want();
    made.settle();
    CHECK(asks.maySend());
}
