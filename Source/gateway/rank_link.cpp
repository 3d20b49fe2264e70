#include "gateway/rank_link.h"

#include "gateway/rank_wire.h"
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    // A call to an agent holds one order of at most 40 ms and two short readings.
    constexpr milliseconds agentTimeout { 250 };
    constexpr milliseconds preparedPoll { 15 };
    // The one in use, the one being prepared, and those of changes that failed between.
    constexpr std::size_t placementsKept = 4;

} // namespace

rank_link::rank_link(process_context& context, decision_log& log, rank_port& port, unsigned short agentPort)
    : m_context(context)
    , m_log(log)
    , m_port(port)
    , m_agentPort(agentPort)
    , m_client(context)
{
}

awaitable<result<http_response>> rank_link::send(const std::string& agent, gateway::rank_order wire, milliseconds wait)
{
    http_request request { http::verb::post, rankOrderPath, 11 };
    request.body() = wire.SerializeAsString();
    co_return co_await m_client.fetch(agent, std::move(request), agentTimeout + wait);
}

awaitable<order_outcome> rank_link::order(listed_backend backend, map_order order, milliseconds wait, numbered_placement base)
{
    if (order.kind == map_order_kind::hold || order.kind == map_order_kind::release)
        co_return co_await orderDirectly(backend, order);
    const bool prepares = order.kind == map_order_kind::prepare;
    const auto complete = [&](gateway::rank_order wire) {
        wire.set_backend_id(backend.id);
        if (prepares) {
            wire.set_await_prepared(order.placement);
            wire.set_wait_ms(static_cast<std::uint32_t>(wait.count()));
        }
        return wire;
    };
    const std::string agent = agentOf(backend);
    const bool byDifference = prepares && base.number != 0 && base.contents;
    const gateway::rank_order first = complete(byDifference ? toWire(order, base) : toWire(order));
    auto response = co_await send(agent, first, wait);
    if (byDifference && response && response.value().result() == http::status::conflict) {
        const gateway::rank_order whole = complete(toWire(order));
        response = co_await send(agent, whole, wait);
    }
    gateway::rank_order_result answer;
    order_outcome outcome;
    if (response && response.value().result() == http::status::ok && answer.ParseFromString(response.value().body())) {
        outcome.reply = static_cast<order_reply>(answer.reply());
        if (answer.has_view())
            outcome.after = fromWire(answer.view());
        co_return outcome;
    }
    m_log.line("agent_unreachable").add("agent", agent).add("order", toString(order.kind)).add("reason", response ? "unreadable answer" : response.error().message).add("outcome", "ordering the engine directly");
    outcome.reply = co_await m_port.order(backend.address, backend.id, order);
    outcome.after = co_await view(backend);
    co_return outcome;
}

awaitable<order_outcome> rank_link::orderDirectly(const listed_backend& backend, const map_order& order)
{
    order_outcome outcome;
    outcome.reply = co_await m_port.order(backend.address, backend.id, order);
    outcome.after = co_await agentView(backend);
    if (!outcome.after)
        outcome.after = co_await view(backend);
    m_log.line("rank_order").add("order", toString(order.kind)).add("backend", backend.id).add("step", order.step).add("epoch", order.epoch).add("fence", order.fence).add("outcome", toString(outcome.reply));
    co_return outcome;
}

awaitable<std::optional<rank_view>> rank_link::agentView(const listed_backend& backend)
{
    const auto response = co_await send(agentOf(backend), gateway::rank_order(), milliseconds(0));
    gateway::rank_order_result answer;
    if (response && response.value().result() == http::status::ok && answer.ParseFromString(response.value().body()) && answer.has_view())
        co_return fromWire(answer.view());
    m_log.line("agent_unreachable").add("agent", agentOf(backend)).add("reason", response ? "no state in its answer" : response.error().message).add("outcome", "asking the engine directly");
    co_return std::nullopt;
}

std::string rank_link::agentOf(const listed_backend& backend) const
{
    return hostOf(backend.address) + ":" + std::to_string(m_agentPort);
}

awaitable<std::optional<rank_view>> rank_link::view(listed_backend backend)
{
    const auto state = co_await m_port.state(backend.address);
    if (!state) {
        m_log.line("rank_state_unknown").add("backend", backend.id).add("address", backend.address).add("reason", state.error().message);
        co_return std::nullopt;
    }
    rank_view seen = state.value();
    seen.fresh = false;
    co_return seen;
}

awaitable<std::optional<rank_experts>> rank_link::experts(listed_backend backend)
{
    const auto held = co_await m_port.experts(backend.address);
    if (!held) {
        m_log.line("rank_experts_unknown").add("backend", backend.id).add("reason", held.error().message);
        co_return std::nullopt;
    }
    co_return held.value();
}

awaitable<http_response> rank_link::serve(const http_request& request, std::string engineAddress)
{
    gateway::rank_order wire;
    if (!wire.ParseFromString(request.body()))
        co_return makeResponse(400, "text/plain", "the body is not an order\n");
    gateway::rank_order_result answer;
    if (!wire.has_order()) {
        const auto seen = co_await m_port.state(engineAddress);
        if (seen)
            *answer.mutable_view() = toWire(seen.value());
        else
            m_log.line("rank_state_unknown").add("address", engineAddress).add("reason", seen.error().message);
        co_return makeResponse(200, "application/x-protobuf", answer.SerializeAsString());
    }
    const auto base = m_prepared.find(wire.base_placement());
    if (wire.base_placement() != 0 && base == m_prepared.end())
        co_return makeResponse(409, "text/plain", "the base placement is not known here\n");
    const map_order order = fromWire(wire, base == m_prepared.end() ? nullptr : base->second.get());
    if (order.contents) {
        m_prepared[order.placement] = order.contents;
        while (m_prepared.size() > placementsKept)
            m_prepared.erase(m_prepared.begin());
    }
    const instant until = m_context.now() + milliseconds(wire.wait_ms());
    order_reply reply = co_await m_port.order(engineAddress, wire.backend_id(), order);
    // A preparation without an answer may be carried out seconds later; given again, it
    // begins now, and the late one finds its number used.
    while (reply == order_reply::unanswered && m_context.now() < until)
        reply = co_await m_port.order(engineAddress, wire.backend_id(), order);
    if (wire.await_prepared() != 0 && reply != order_reply::fenced && reply != order_reply::refused)
        co_await awaitPrepared(engineAddress, wire.await_prepared(), until);
    answer.set_reply(static_cast<std::uint32_t>(reply));
    const auto state = co_await m_port.state(engineAddress);
    if (state) {
        *answer.mutable_view() = toWire(state.value());
    }
    m_log.line("rank_order").add("order", toString(order.kind)).add("placement", order.placement).add("step", order.step).add("epoch", order.epoch).add("fence", order.fence).add("outcome", toString(reply));
    co_return makeResponse(200, "application/x-protobuf", answer.SerializeAsString());
}

awaitable<void> rank_link::awaitPrepared(const std::string& engineAddress, std::uint64_t placement, instant until)
{
    while (m_context.now() < until) {
        const auto state = co_await m_port.state(engineAddress);
        if (state && state.value().preparedPlacement >= placement)
            co_return;
        asio::steady_timer timer(m_context.io(), preparedPoll);
        co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
    }
}

} // namespace rampgap
