#include "gateway/crash_gossip.h"

#include "daemon/sleep.h"
#include "wire/crash_codec.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    // Entry VMs that hear of news from one that has just heard of them.
    constexpr std::size_t fanout = 6;
    // A record takes 14 bytes with one crash and 60 with eight; a packet holds 1,472.
    constexpr std::size_t recordsPerDatagram = 20;
    // Between two datagrams to each of these: at the most 20 a second, 24 KB for each of six, an
    // eighth of a link of 8 Mbit/s, for as long as there are news.
    constexpr milliseconds spreadPause { 50 };
    // Between two answers to processes that know something else: at the most 10 a second.
    constexpr milliseconds answerPause { 100 };

} // namespace

crash_gossip::crash_gossip(process_context& context, crash_history& history, const peer_table& peers, datagram_sender& sender)
    : m_context(context)
    , m_history(history)
    , m_peers(peers)
    , m_sender(sender)
{
}

void crash_gossip::tell()
{
    if (m_spreading || !m_history.hasUpdates())
        return;
    m_spreading = true;
    asio::co_spawn(m_context.io(), spread(), asio::detached);
}

// An agent keeps what it hears, for entry VMs that were all started anew or do not reach each
// other; telling is left to those.
awaitable<void> crash_gossip::spread()
{
    while (m_history.hasUpdates()) {
        auto datagram = m_sender.makeDatagram();
        addCrashes(*datagram.mutable_crashes(), m_history.takeUpdates(recordsPerDatagram, m_context.now()));
        if (m_peers.self().role == peer_role::entry) {
            for (const auto& peer : m_peers.sample(peer_role::entry, fanout, m_context.random()))
                m_sender.send(peer.host, datagram);
        }
        co_await sleepFor(m_context.io(), spreadPause);
    }
    m_spreading = false;
}

void crash_gossip::receive(const gateway::peer_datagram& datagram, const std::string& host)
{
    mergeCrashes(datagram.crashes(), m_history, m_context.now());
    tell();
    if (datagram.crash_digest() != m_history.digest())
        answer(host);
}

// Also without a record to tell: the datagram's digest makes the other side tell its own.
void crash_gossip::answer(const std::string& host)
{
    const instant now = m_context.now();
    if (now < m_nextAnswer)
        return;
    m_nextAnswer = now + answerPause;
    const auto records = m_history.repeated(now);
    for (std::size_t from = 0; from == 0 || from < records.size(); from += recordsPerDatagram) {
        const auto to = std::min(records.size(), from + recordsPerDatagram);
        auto datagram = m_sender.makeDatagram();
        addCrashes(*datagram.mutable_crashes(), { records.begin() + static_cast<std::ptrdiff_t>(from), records.begin() + static_cast<std::ptrdiff_t>(to) });
        m_sender.send(host, datagram);
    }
}

} // namespace rampgap
