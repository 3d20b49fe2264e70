// Gossip about a crashing request reaches all entry VMs of the planned fleet without overloading their
// links.
#include "gateway.pb.h"
#include "wire/crash_codec.h"

#include <algorithm>
#include <doctest/doctest.h>
#include <numeric>
#include <random>

using namespace rampgap;

namespace {

// Size of the planned fleet; fanout and pause are those of gateway/peers/crash_gossip.
constexpr std::size_t entries = 390;
constexpr std::size_t fanout = 6;
constexpr std::size_t recordsPerDatagram = 20;
constexpr milliseconds step { 50 };
constexpr double lost = 0.03;

class fleet {
public:
    explicit fleet(std::size_t size)
        : histories(size)
        , sentBytes(size)
    {
    }

    // One gossip step: each process sends its new records; receivers pass them on in the next step.
    void gossipStep()
    {
        now += step;
        std::vector<std::pair<std::size_t, gateway::peer_datagram>> inTransit;
        for (std::size_t from = 0; from < histories.size(); ++from) {
            if (!histories[from].hasUpdates())
                continue;
            gateway::peer_datagram datagram;
            addCrashes(*datagram.mutable_crashes(), histories[from].takeUpdates(recordsPerDatagram, now));
            for (std::size_t i = 0; i < fanout; ++i) {
                sentBytes[from] += datagram.ByteSizeLong();
                largest = std::max(largest, datagram.ByteSizeLong());
                if (std::uniform_real_distribution<double>()(random) >= lost)
                    inTransit.push_back({ random() % histories.size(), datagram });
            }
        }
        for (const auto& [to, datagram] : inTransit) {
            mergeCrashes(datagram.crashes(), histories[to], now);
        }
    }

    bool isQuiet() const
    {
        return std::none_of(histories.begin(), histories.end(), [](const crash_history& each) { return each.hasUpdates(); });
    }

    std::size_t blocking(request_fingerprint request) const
    {
        return static_cast<std::size_t>(std::count_if(histories.begin(), histories.end(), [&](const crash_history& each) { return each.blockedFor(request, now).has_value(); }));
    }

    std::vector<crash_history> histories;
    std::vector<std::size_t> sentBytes;
    std::size_t largest = 0;
    std::mt19937_64 random { 20261203 };
    instant now {};
};

} // namespace

TEST_CASE("nearly all of 390 entry VMs block a request within half a second of its second crash")
{
    fleet all(entries);
    const request_fingerprint crashingRequest { 1 };
    for (std::uint32_t crash = 0; crash < 2; ++crash) {
        // Different VMs see the crashes, each with some of the requests that ran beside it.
        for (std::uint64_t neighbour = 0; neighbour < 16; ++neighbour)
            all.histories[all.random() % entries].recordCrash({ 100 * (crash + 1) + neighbour }, crash, neighbour % 4, all.now);
        all.histories[all.random() % entries].recordCrash(crashingRequest, crash, 0, all.now);
        for (int i = 0; i < 10; ++i)
            all.gossipStep();
    }
    // VMs that these datagrams missed learn of it from the next exchange with any peer (next test).
    CHECK(all.blocking(crashingRequest) >= entries * 99 / 100);
    CHECK(*std::max_element(all.sentBytes.begin(), all.sentBytes.end()) < 20'000);
    CHECK(all.largest < 1'200);
}

TEST_CASE("a VM that missed the gossip gets the records from one exchange with any peer")
{
    crash_history informed;
    crash_history missed;
    for (const std::uint32_t server : { 1U, 2U })
        informed.recordCrash({ 1 }, server, 0, instant {});
    REQUIRE(informed.digest() != missed.digest());
    gateway::peer_datagram datagram;
    addCrashes(*datagram.mutable_crashes(), informed.repeated(instant {} + milliseconds(5'000)));
    mergeCrashes(datagram.crashes(), missed, instant {} + milliseconds(900'000));
    CHECK(informed.digest() == missed.digest());
    CHECK(missed.blockedFor({ 1 }, instant {} + milliseconds(900'000)) == milliseconds(595'000));
}

TEST_CASE("330 servers of a zone that crash together do not overload any link, and the gossip ends")
{
    // 5,000 requests were running, more than a process keeps records of.
    constexpr double linkBytesPerSecond = 1'000'000;
    fleet all(60);
    for (std::uint64_t number = 0; number < 5'000; ++number)
        all.histories[all.random() % 60].recordCrash({ number + 10 }, static_cast<std::uint32_t>(number / 15), number % 4, all.now);
    int steps = 0;
    while (!all.isQuiet() && steps < 2'000) {
        all.gossipStep();
        ++steps;
    }
    CHECK(all.isQuiet());
    const double seconds = std::chrono::duration<double>(step).count() * steps;
    const double most = static_cast<double>(*std::max_element(all.sentBytes.begin(), all.sentBytes.end()));
    MESSAGE("gossip ended after " << seconds << " s, at most " << most << " bytes sent by one process");
    CHECK(most / seconds < 0.125 * linkBytesPerSecond);
    CHECK(all.largest < 1'200);
}
