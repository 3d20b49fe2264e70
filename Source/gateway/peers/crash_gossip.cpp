#include "gateway/peers/crash_gossip.h"

#include "daemon/scope_exit.h"
#include "daemon/sleep.h"
#include "daemon/task.h"
#include "wire/crash_codec.h"

namespace rampgap {

namespace {

    // Entry VMs that one entry VM sends each new record to.
    constexpr std::size_t fanout = 6;
    // A record takes 14 bytes with one crash and 60 with eight; a packet holds 1,472.
    constexpr std::size_t recordsPerDatagram = 20;
    // Between two datagrams to each of them: at most 20 per second, 24 KB to each of six, which is
    // an eighth of an 8 Mbit/s link, for as long as there are new records.
    constexpr milliseconds publishPause { 50 };
    // Between two replies to processes whose digest differs: at most 10 per second.
    constexpr milliseconds replyPause { 100 };

} // namespace

crash_gossip::crash_gossip(process_context& context, crash_history& history, const peer_table& peers, datagram_sender& sender)
    : m_context(context)
    , m_history(history)
    , m_peers(peers)
    , m_sender(sender)
{
}

void crash_gossip::publish()
{
    if (m_publishing || !m_history.hasUpdates())
        return;
    m_publishing = true;
    startTask(m_context, "publish_crashes", publishLoop());
}

// An agent only stores the records, for entry VMs that have all been restarted or cannot reach each
// other. It leaves the active gossip to them and sends records only in replies.
awaitable<void> crash_gossip::publishLoop()
{
    const scope_exit ended(m_context, [this] { m_publishing = false; });
    while (m_history.hasUpdates()) {
        auto datagram = m_sender.makeDatagram();
        addCrashes(*datagram.mutable_crashes(), m_history.takeUpdates(recordsPerDatagram, m_context.now()));
        if (m_peers.self().role == peer_role::entry) {
            for (const auto& peer : m_peers.sample(peer_role::entry, fanout, m_context.random()))
                m_sender.send(peer.host, datagram);
        }
        co_await sleepFor(m_context.io(), publishPause);
    }
}

void crash_gossip::receive(const gateway::peer_datagram& datagram, const std::string& host)
{
    mergeCrashes(datagram.crashes(), m_history, m_context.now());
    publish();
    if (datagram.crash_digest() != m_history.digest())
        reply(host);
}

// A reply is sent even without records: its digest makes the other side send its own.
void crash_gossip::reply(const std::string& host)
{
    const instant now = m_context.now();
    if (now < m_nextReplyAt)
        return;
    m_nextReplyAt = now + replyPause;
    const auto records = m_history.repeated(now);
    for (std::size_t from = 0; from == 0 || from < records.size(); from += recordsPerDatagram) {
        const auto to = std::min(records.size(), from + recordsPerDatagram);
        auto datagram = m_sender.makeDatagram();
        addCrashes(*datagram.mutable_crashes(), { records.begin() + static_cast<std::ptrdiff_t>(from), records.begin() + static_cast<std::ptrdiff_t>(to) });
        m_sender.send(host, datagram);
    }
}

} // namespace rampgap
