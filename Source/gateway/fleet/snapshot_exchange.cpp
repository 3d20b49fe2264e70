#include "gateway/fleet/snapshot_exchange.h"

#include "daemon/scope_exit.h"
#include "daemon/task.h"
#include "gateway.pb.h"
#include "gateway/fleet/snapshot_codec.h"
#include "gateway/peers/peer_wire.h"

namespace rampgap {

namespace {

    // Several times what a compressed configuration takes through a 6 Mbit/s link.
    constexpr milliseconds snapshotTimeout { 800 };
    constexpr std::size_t largestSnapshot = 16'777'216;
    constexpr std::string_view epochName = "epoch";
    constexpr std::string_view revisionName = "revision";
    // Processes of earlier versions do not send this, and expect the keys of all items.
    constexpr std::string_view omitKeysName = "omit_keys";

    std::string snapshotTarget(store_position known)
    {
        return std::string(snapshotPath) + "?" + std::string(epochName) + "=" + std::to_string(known.epoch) + "&" + std::string(revisionName) + "=" + std::to_string(known.revision) + "&" + std::string(omitKeysName) + "=1";
    }

    void setItem(gateway::published_item& wire, const published_item& item)
    {
        wire.set_key(item.key);
        wire.set_value(item.value);
        wire.set_revision(item.revision);
        wire.set_created(item.created);
    }

    published_item itemOf(const gateway::published_item& wire)
    {
        return { wire.key(), wire.value(), wire.revision(), wire.created() };
    }

    // Ages count back from the moment before the request was sent, so that they are never understated.
    peer_state peerStateOf(const gateway::fleet_snapshot& wire, instant askedAt)
    {
        peer_state state;
        state.summary = summaryOf(wire);
        state.delta.position = state.summary.position;
        state.delta.keys.assign(wire.keys().begin(), wire.keys().end());
        for (const auto& removed : wire.removed())
            state.delta.removed.push_back({ removed.key(), removed.revision() });
        if (wire.has_changes_from())
            state.delta.changesFrom = wire.changes_from();
        for (const auto& item : wire.items())
            state.delta.items.push_back(itemOf(item));
        for (const auto& retained : wire.retained())
            state.retained.push_back({ itemOf(retained.item()), retained.removed() });
        if (wire.proven())
            state.freshAsOf = askedAt - milliseconds(wire.proof_age_ms() + 1);
        state.listUncertainFor = milliseconds(wire.list_doubt_ms());
        state.listSettled = wire.list_settled();
        if (wire.has_restored_ms_ago())
            state.restoredAt = askedAt - milliseconds(wire.restored_ms_ago());
        return state;
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

void snapshot_exchange::recordSummary(const std::string& host, bool sameZone, const state_summary& summary)
{
    m_anyPeerHasState = m_anyPeerHasState || summary.position != store_position {};
    fetchFrom(m_choice.recordPeerSummary(host, sameZone, summary, m_state.summary(), m_context.now()));
}

void snapshot_exchange::fetchOverdue()
{
    fetchFrom(m_choice.overdueFetch(m_state.published().position(), m_context.now()));
}

void snapshot_exchange::fetchFrom(const std::optional<std::string>& host)
{
    if (host && !m_fetching)
        startTask(m_context, "fetch_snapshot", fetch(*host));
}

awaitable<void> snapshot_exchange::fetch(std::string host)
{
    m_fetching = true;
    const scope_exit ended(m_context, [this] { m_fetching = false; });
    const instant askedAt = m_context.now();
    http_request request { http::verb::get, snapshotTarget(m_state.published().position()), 11 };
    const std::string address = host + ":" + std::to_string(m_controlPort);
    const auto response = co_await m_client.fetch(address, std::move(request), snapshotTimeout, largestSnapshot);
    std::optional<gateway::fleet_snapshot> unpacked;
    if (response && response.value().result() == http::status::ok)
        unpacked = unpackSnapshot(response.value().body(), largestSnapshot);
    if (!unpacked) {
        m_log.line("peer_snapshot_failed").add("peer", host).add("reason", response ? "unreadable answer" : response.error().message);
        co_return;
    }
    m_state.mergePeer(peerStateOf(*unpacked, askedAt), host);
}

http_response snapshot_exchange::makeAnswer(const http_request& request) const
{
    const std::string target(request.target());
    // A position that is missing or cannot be read counts as 0, so the peer is sent everything.
    const store_position known { queryNumber(target, epochName, 0), queryNumber(target, revisionName, 0) };
    gateway::fleet_snapshot wire;
    const auto& published = m_state.published();
    setSummary(wire, m_state.summary());
    const auto age = m_state.freshnessAge();
    wire.set_proven(age.has_value());
    wire.set_proof_age_ms(wholeMilliseconds(age.value_or(milliseconds(0))));
    wire.set_list_doubt_ms(wholeMilliseconds(m_state.listUncertainFor()));
    wire.set_list_settled(m_state.listSettled());
    if (const auto restoredAt = m_state.restoredAt())
        wire.set_restored_ms_ago(wholeMilliseconds(m_context.now() - *restoredAt));
    const published_delta delta = published.since(known, queryNumber(target, omitKeysName, 0) != 0);
    for (const auto& key : delta.keys)
        wire.add_keys(key);
    for (const auto& removed : delta.removed) {
        auto* added = wire.add_removed();
        added->set_key(removed.key);
        added->set_revision(removed.revision);
    }
    if (delta.changesFrom)
        wire.set_changes_from(*delta.changesFrom);
    for (const auto& item : delta.items)
        setItem(*wire.add_items(), item);
    for (const auto& [key, retained] : published.retained().all()) {
        auto* added = wire.add_retained();
        setItem(*added->mutable_item(), retained.item);
        added->set_removed(retained.removed);
    }
    return makeResponse(200, "application/x-protobuf", packSnapshot(wire));
}

} // namespace rampgap
