#include "daemon/operator_pages.h"

#include "daemon/configuration_node.h"
#include "daemon/log.h"
#include "policy/common/digest.h"
#include "policy/configuration/section_reader.h"
#include <boost/json.hpp>

namespace rampgap {

namespace json = boost::json;

namespace {

    constexpr std::string_view bearerPrefix = "Bearer ";

    http_response jsonResponse(const json::value& value)
    {
        return makeResponse(200, "application/json", json::serialize(value));
    }

    json::object eventObject(const timeline_event& event)
    {
        return {
            { "process", event.process },
            { "zone", event.zone },
            { "sequence", event.sequence },
            { "clock", event.clock },
            { "wall_ns", event.wallNs },
            { "steady_ns", event.steadyNs },
            { "kind", std::string(toString(event.kind)) },
            { "correlation", event.correlation },
            { "detail", event.detail },
        };
    }

} // namespace

std::string bearerKey(const http_request& request)
{
    const std::string text = headerText(request, "Authorization");
    return text.starts_with(bearerPrefix) ? text.substr(bearerPrefix.size()) : std::string();
}

operator_pages::operator_pages(process_context& context, const process_settings& settings, const configuration_node& configuration)
    : m_context(context)
    , m_settings(settings)
    , m_configuration(configuration)
{
}

std::optional<http_response> operator_pages::answer(const http_request& request)
{
    const std::string path = pathOf({ request.target().data(), request.target().size() });
    if (path == "/healthz")
        return health();
    if (path == "/readyz")
        return readiness();
    if (path == "/metrics")
        return makeResponse(200, "text/plain; version=0.0.4", m_context.counters().serialize());
    if (!path.starts_with("/operator/"))
        return std::nullopt;
    if (!authorised(request))
        return makeFailure(notRun(failure_reason::unauthenticated, "the operators' key is missing or wrong"));
    if (path == "/operator/status")
        return status();
    if (path == "/operator/timeline")
        return timelinePage();
    if (path == "/operator/declaration")
        return declarationPage();
    if (path == "/operator/cut" && m_settings.faultSwitches && request.method() == http::verb::post)
        return cutPeers(request);
    return makeFailure(notRun(failure_reason::not_found, "unknown operator page: " + path));
}

bool operator_pages::authorised(const http_request& request) const
{
    const std::string key = bearerKey(request);
    return !m_settings.operatorKeyDigest.empty() && !key.empty() && sha256Hex(key) == m_settings.operatorKeyDigest;
}

http_response operator_pages::health() const
{
    return makeResponse(200, "text/plain", "ok\n");
}

http_response operator_pages::readiness() const
{
    if (m_leaving)
        return makeResponse(503, "text/plain", "leaving\n");
    return m_configuration.ready() ? makeResponse(200, "text/plain", "ready\n") : makeResponse(503, "text/plain", "no configuration in force\n");
}

http_response operator_pages::status() const
{
    json::array refusals;
    for (const auto& refused : m_configuration.chain().refusals())
        refusals.push_back(json::object { { "revision", refused.revision }, { "reason", refused.reason } });
    json::array vms;
    for (const auto& vm : m_configuration.vms().vms)
        vms.push_back(json::object { { "name", vm.name }, { "zone", vm.zone }, { "role", vm.role == vm_role::agent ? "agent" : "entry" }, { "address", vm.address } });
    const auto age = std::chrono::duration_cast<milliseconds>(m_context.now() - m_configuration.inForceSince());
    return jsonResponse(json::object {
        { "name", m_context.name() },
        { "zone", m_context.zone() },
        { "role", m_context.role() },
        { "incarnation", m_context.incarnation() },
        { "ready", m_configuration.ready() && !m_leaving },
        { "revision", m_configuration.chain().revision() },
        { "digest", m_configuration.chain().digest() },
        { "highest_seen", m_configuration.chain().highestSeen() },
        { "source", m_configuration.source() },
        { "age_ms", m_configuration.chain().inForce() ? age.count() : 0 },
        { "reader", m_configuration.isReader() },
        { "refusals", std::move(refusals) },
        { "vms", std::move(vms) },
    });
}

http_response operator_pages::timelinePage() const
{
    json::array events;
    for (const auto& event : m_context.timeline().events())
        events.push_back(eventObject(event));
    return jsonResponse(json::object { { "process", m_context.name() }, { "dropped", m_context.timeline().dropped() }, { "events", std::move(events) } });
}

http_response operator_pages::declarationPage() const
{
    const auto current = m_configuration.chain().inForce();
    if (!current)
        return makeFailure(notRun(failure_reason::not_ready, "no declaration is in force", milliseconds(1'000)));
    return makeResponse(200, "text/plain", current->canonicalText());
}

http_response operator_pages::cutPeers(const http_request& request)
{
    const auto names = splitList(request.body());
    m_context.cut({ names.begin(), names.end() });
    logWarning("cut", "addresses=\"" + request.body() + "\"");
    return makeResponse(200, "text/plain", "ok\n");
}

} // namespace rampgap
