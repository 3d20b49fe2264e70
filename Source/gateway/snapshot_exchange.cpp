#include "gateway/snapshot_exchange.h"

#include "gateway.pb.h"
#include "gateway/snapshot_codec.h"
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace rampgap {

namespace asio = boost::asio;

namespace {

    // Several times what a compressed configuration takes through a link of 6 Mbit/s.
    constexpr milliseconds snapshotTimeout { 800 };
    constexpr std::size_t largestSnapshot = 16'777'216;
    constexpr std::string_view epochName = "epoch";
    constexpr std::string_view revisionName = "revision";

    std::string snapshotTarget(store_position held)
    {
        return std::string(snapshotPath) + "?" + std::string(epochName) + "=" + std::to_string(held.epoch) + "&" + std::string(revisionName) + "=" + std::to_string(held.revision);
    }

    // A number that is missing or cannot be read is 0: then everything is sent.
    std::uint64_t numberOf(const std::string& target, std::string_view name)
    {
        return std::strtoull(queryValue(target, name).c_str(), nullptr, 10);
    }

} // namespace

snapshot_exchange::snapshot_exchange(process_context& context, decision_log& log, fleet_state& state, unsigned short controlPort)
    : m_context(context)
    , m_log(log)
    , m_state(state)
    , m_controlPort(controlPort)
    , m_client(context)
{
}

void snapshot_exchange::noteTold(const std::string& host, bool sameZone, store_position position)
{
    fetchFrom(m_choice.noteTold(host, sameZone, position, m_state.published().position(), m_context.now()));
}

void snapshot_exchange::fetchDue()
{
    fetchFrom(m_choice.due(m_state.published().position(), m_context.now()));
}

void snapshot_exchange::fetchFrom(const std::optional<std::string>& host)
{
    if (host && !m_fetching)
        asio::co_spawn(m_context.io(), fetch(*host), asio::detached);
}

awaitable<void> snapshot_exchange::fetch(std::string host)
{
    m_fetching = true;
    const instant askedAt = m_context.now();
    http_request request { http::verb::get, snapshotTarget(m_state.published().position()), 11 };
    const std::string address = host + ":" + std::to_string(m_controlPort);
    const auto response = co_await m_client.fetch(address, std::move(request), snapshotTimeout, largestSnapshot);
    m_fetching = false;
    std::optional<gateway::fleet_snapshot> unpacked;
    if (response && response.value().result() == http::status::ok)
        unpacked = unpackSnapshot(response.value().body(), largestSnapshot);
    if (!unpacked) {
        m_log.line("peer_snapshot_failed").add("peer", host).add("reason", response ? "unreadable answer" : response.error().message);
        co_return;
    }
    const gateway::fleet_snapshot& wire = *unpacked;
    std::optional<instant> provenAt;
    if (wire.proven())
        provenAt = askedAt - milliseconds(wire.proof_age_ms() + 1);
    published_delta delta;
    delta.position = { wire.epoch(), wire.revision() };
    delta.keys.assign(wire.keys().begin(), wire.keys().end());
    for (const auto& item : wire.items())
        delta.items.push_back({ item.key(), item.value(), item.revision(), item.created() });
    m_state.take(delta, provenAt, milliseconds(wire.list_doubt_ms()), host);
}

http_response snapshot_exchange::answerTo(const http_request& request) const
{
    const std::string target(request.target());
    const store_position held { numberOf(target, epochName), numberOf(target, revisionName) };
    gateway::fleet_snapshot wire;
    const auto& published = m_state.published();
    wire.set_epoch(published.position().epoch);
    wire.set_revision(published.position().revision);
    const auto age = m_state.proofAge();
    wire.set_proven(age.has_value());
    wire.set_proof_age_ms(static_cast<std::uint32_t>(age.value_or(milliseconds(0)).count()));
    wire.set_list_doubt_ms(static_cast<std::uint32_t>(m_state.listDoubt().count()));
    const published_delta delta = published.since(held);
    for (const auto& key : delta.keys)
        wire.add_keys(key);
    for (const auto& item : delta.items) {
        auto* added = wire.add_items();
        added->set_key(item.key);
        added->set_value(item.value);
        added->set_revision(item.revision);
        added->set_created(item.created);
    }
    return makeResponse(200, "application/x-protobuf", packSnapshot(wire));
}

} // namespace rampgap
