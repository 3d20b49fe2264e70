#include "gateway/peers/peer_wire.h"

#include <algorithm>
#include <boost/asio/ip/address_v4.hpp>
#include <limits>

namespace rampgap {

namespace {

    constexpr double percent = 100;
    // A rank takes up to 9 bytes, a slow one 11, and the rest of a datagram about 150; a packet holds
    // 1,472.
    constexpr std::size_t ranksPerDatagram = 135;

    std::uint32_t toPercent(double value)
    {
        return static_cast<std::uint32_t>(value * percent);
    }

    gateway::peer_datagram withoutRanks(const gateway::peer_datagram& common, const rank_load_report& report)
    {
        gateway::peer_datagram datagram = common;
        datagram.mutable_ranks_group()->set_service(report.group.service);
        datagram.mutable_ranks_group()->set_group(report.group.group);
        datagram.set_ranks_skew_percent(toPercent(report.slowdown.expertSkew));
        datagram.set_ranks_slowest_pace_percent(toPercent(report.slowdown.slowestPace));
        datagram.set_ranks_pass_ms(wholeMilliseconds(report.pass));
        return datagram;
    }

} // namespace

std::uint32_t wholeMilliseconds(duration age)
{
    const auto count = std::chrono::duration_cast<milliseconds>(age).count();
    return static_cast<std::uint32_t>(std::clamp<std::int64_t>(count, 0, std::numeric_limits<std::uint32_t>::max()));
}

gateway::process_identity toWire(const peer_info& peer)
{
    gateway::process_identity wire;
    wire.set_host(peer.host);
    wire.set_zone(peer.zone);
    wire.set_is_agent(peer.role == peer_role::agent);
    wire.set_incarnation(peer.incarnation);
    return wire;
}

peer_info fromWire(const gateway::process_identity& wire)
{
    return { wire.host(), wire.zone(), wire.is_agent() ? peer_role::agent : peer_role::entry, wire.incarnation() };
}

void addHeartbeats(gateway::peer_datagram& datagram, const std::vector<heartbeat>& heartbeats)
{
    for (const auto& each : heartbeats) {
        boost::system::error_code error;
        const auto address = boost::asio::ip::make_address_v4(each.host, error);
        if (error)
            continue;
        datagram.add_heard_hosts(address.to_uint());
        datagram.add_heard_ages_ms(wholeMilliseconds(each.age));
    }
}

std::vector<heartbeat> heartbeatsOf(const gateway::peer_datagram& datagram)
{
    const int count = std::min(datagram.heard_hosts_size(), datagram.heard_ages_ms_size());
    std::vector<heartbeat> heartbeats;
    heartbeats.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        heartbeats.push_back({ boost::asio::ip::address_v4(datagram.heard_hosts(i)).to_string(), milliseconds(datagram.heard_ages_ms(i)) });
    return heartbeats;
}

void addWork(gateway::peer_datagram& datagram, const load_report_by_hash& loads)
{
    datagram.set_has_report(true);
    for (const auto& [hash, load] : loads) {
        auto* work = datagram.add_work();
        work->set_backend_hash(hash);
        work->set_requests(static_cast<std::uint32_t>(std::max(0, load.requests)));
        work->set_unread_tokens(static_cast<std::uint32_t>(std::max<std::int64_t>(0, load.unreadTokens)));
    }
}

load_report_by_hash workOf(const gateway::peer_datagram& datagram)
{
    load_report_by_hash loads;
    for (const auto& work : datagram.work())
        loads[work.backend_hash()] = { static_cast<int>(work.requests()), work.unread_tokens(), 1 };
    return loads;
}

void addGroups(gateway::peer_datagram& datagram, const std::vector<std::pair<group_update, milliseconds>>& all)
{
    for (const auto& [state, age] : all) {
        auto* added = datagram.add_groups();
        added->set_group(state.key.group);
        added->set_service(state.key.service);
        added->set_epoch(state.phase.epoch);
        added->set_open(state.phase.open);
        added->set_age_ms(static_cast<std::uint32_t>(age.count()));
    }
}

std::vector<gateway::peer_datagram> rankDatagrams(const gateway::peer_datagram& common, const rank_load_report& report)
{
    std::vector<gateway::peer_datagram> all { withoutRanks(common, report) };
    for (const auto& [hash, load] : report.loads) {
        if (static_cast<std::size_t>(all.back().ranks_size()) == ranksPerDatagram)
            all.push_back(withoutRanks(common, report));
        auto* work = all.back().add_ranks();
        work->set_backend_hash(hash);
        work->set_requests(static_cast<std::uint32_t>(std::max(0, load.requests)));
        if (load.pace > 1)
            work->set_pace_percent(toPercent(load.pace));
    }
    return all;
}

rank_load_report ranksOf(const gateway::peer_datagram& datagram)
{
    rank_load_report report;
    report.group = { datagram.ranks_group().service(), datagram.ranks_group().group() };
    report.slowdown = { datagram.ranks_skew_percent() / percent, datagram.ranks_slowest_pace_percent() / percent };
    report.pass = milliseconds(datagram.ranks_pass_ms());
    for (const auto& work : datagram.ranks())
        report.loads[work.backend_hash()] = { static_cast<int>(work.requests()), 0, std::max(1.0, work.pace_percent() / percent) };
    return report;
}

} // namespace rampgap
