#include "standin/group_standin.h"

#include "daemon/boot_timer.h"
#include "daemon/daemon_main.h"
#include "daemon/task.h"
#include "discovery/json_reading.h"
#include "policy/common/digest.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <cmath>
#include <iostream>

namespace rampgap::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::size_t experts = 16;
    // The hot experts move on after this many steps.
    constexpr std::uint64_t stepsPerDrift = 150;

} // namespace

group_standin::rank::rank(group_standin& group, std::size_t index)
    : m_group(group)
    , m_index(index)
{
}

void group_standin::rank::step()
{
    ++m_state.step;
}

std::uint64_t group_standin::rank::mapInUse() const
{
    return m_state.step >= m_state.committedStep ? m_placement : m_placementBefore;
}

bool group_standin::rank::carryOut(const std::string& body)
{
    boost::system::error_code error;
    const json::value parsed = json::parse(body, error);
    if (error || !parsed.is_object())
        return false;
    const json::object& order = parsed.get_object();
    const std::uint64_t fence = numberIn(order, "fence");
    if (m_group.m_flags.checksFencing && fence < m_highestFence)
        return false;
    m_highestFence = std::max(m_highestFence, fence);
    const std::string kind(order.at("kind").as_string());
    if (kind == "stage") {
        m_state.stagedMap = numberIn(order, "map");
        m_state.stagedStep = numberIn(order, "step");
        m_stagedPlacement = hash64(json::serialize(order.at("placement")), m_state.stagedMap);
        return true;
    }
    if (kind == "commit" && m_state.stagedMap == numberIn(order, "map")) {
        m_placementBefore = m_placement;
        m_placement = m_stagedPlacement;
        m_state.committedMap = m_state.stagedMap;
        m_state.committedStep = m_state.stagedStep;
    }
    m_state.stagedMap = 0;
    m_state.stagedStep = 0;
    return true;
}

http_response group_standin::rank::report()
{
    json::array counts;
    for (const double count : m_group.expertCounts())
        counts.push_back(count);
    return makeResponse(200, "application/json", json::serialize(json::object { { "step", m_state.step }, { "committed_map", m_state.committedMap }, { "committed_step", m_state.committedStep }, { "staged_map", m_state.stagedMap }, { "staged_step", m_state.stagedStep }, { "gates_at_step", true }, { "checks_fencing", m_group.m_flags.checksFencing }, { "expert_counts", std::move(counts) }, { "time_per_work", 1.0 } }));
}

awaitable<void> group_standin::rank::handle(http_exchange& exchange)
{
    const auto target = exchange.request().target();
    http_response response = makeResponse(404, "text/plain", "no such page\n");
    if (target == "/standin/group")
        response = m_group.figures();
    else if (target == "/rank/report")
        response = report();
    else if (target == "/rank/order")
        response = carryOut(exchange.request().body()) ? report() : makeResponse(409, "text/plain", "refused\n");
    co_await exchange.send(std::move(response));
}

group_standin::group_standin(process_context& context, const standin_flags& flags)
    : m_context(context)
    , m_flags(flags)
{
    for (int i = 0; i < flags.ranks; ++i)
        m_ranks.push_back(std::make_unique<rank>(*this, static_cast<std::size_t>(i)));
}

std::vector<double> group_standin::expertCounts() const
{
    std::vector<double> counts;
    for (std::size_t i = 0; i < experts; ++i)
        counts.push_back(100 + 400 * std::exp(-static_cast<double>((i + m_steps / stepsPerDrift * 3) % experts) / 3));
    return counts;
}

awaitable<void> group_standin::stepLoop()
{
    boot_timer timer(m_context.io());
    for (;;) {
        timer.expires_after(milliseconds(m_flags.stepMs));
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
        if (!std::all_of(m_ranks.begin(), m_ranks.end(), [](const auto& one) { return one->ready(); })) {
            ++m_delayed;
            continue;
        }
        for (auto& one : m_ranks)
            one->step();
        ++m_steps;
        const std::uint64_t used = m_ranks.front()->mapInUse();
        m_mixed += std::any_of(m_ranks.begin(), m_ranks.end(), [&](const auto& one) { return one->mapInUse() != used; }) ? 1 : 0;
        m_switches += used != m_lastMap ? 1 : 0;
        m_lastMap = used;
    }
}

http_response group_standin::figures() const
{
    return makeResponse(200, "application/json", json::serialize(json::object { { "steps", m_steps }, { "delayed", m_delayed }, { "mixed", m_mixed }, { "switches", m_switches } }));
}

int group_standin::serve()
{
    for (auto& one : m_ranks) {
        auto server = http_server::listen(m_context, "127.0.0.1:0", {}, *one);
        if (!server) {
            std::cerr << "rampgap-standin: " << server.error().message << "\n";
            return exit_failed;
        }
        m_servers.push_back(std::move(server.value()));
        std::cout << "rank http=" << m_servers.back()->port() << std::endl;
    }
    startLoop(m_context, "step", [this] { return stepLoop(); });
    onStopSignal(m_context.io(), [&] { m_context.io().stop(); });
    printReady(m_servers.front()->port(), 0);
    runUntilStopped(m_context);
}

} // namespace rampgap::standin
