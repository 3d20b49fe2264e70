#include "ctl/fleet_reader.h"
#include "discovery/json_reading.h"

#include <array>

namespace rampgap::ctl {

namespace json = boost::json;

namespace {

    constexpr milliseconds readTimeout { 2'000 };

    void fill(process_status& status, const json::object& page)
    {
        status.reachable = true;
        status.name = textIn(page, "name");
        status.zone = textIn(page, "zone");
        status.role = textIn(page, "role");
        status.ready = flagIn(page, "ready");
        status.reader = flagIn(page, "reader");
        status.revision = numberIn(page, "revision");
        status.highestSeen = numberIn(page, "highest_seen");
        status.digest = textIn(page, "digest");
        status.source = textIn(page, "source");
        status.ageMs = static_cast<std::int64_t>(numberIn(page, "age_ms"));
        if (const json::value* refusals = page.if_contains("refusals")) {
            for (const json::value& refused : refusals->as_array())
                status.refusals.push_back("revision " + std::to_string(numberIn(refused.as_object(), "revision")) + ": " + textIn(refused.as_object(), "reason"));
        }
    }

    event_kind kindOf(const std::string& name)
    {
        for (int i = 0; i <= static_cast<int>(event_kind::paused); ++i) {
            if (toString(static_cast<event_kind>(i)) == name)
                return static_cast<event_kind>(i);
        }
        return event_kind::started;
    }

    timeline_event parseEvent(const json::object& object)
    {
        timeline_event event;
        event.process = textIn(object, "process");
        event.zone = textIn(object, "zone");
        event.sequence = numberIn(object, "sequence");
        event.clock = numberIn(object, "clock");
        event.wallNs = static_cast<std::int64_t>(numberIn(object, "wall_ns"));
        event.steadyNs = static_cast<std::int64_t>(numberIn(object, "steady_ns"));
        event.kind = kindOf(textIn(object, "kind"));
        event.correlation = textIn(object, "correlation");
        event.detail = textIn(object, "detail");
        return event;
    }

} // namespace

fleet_reader::fleet_reader(process_context& context, http_client& client, std::string entry, std::string key)
    : m_context(context)
    , m_client(client)
    , m_entry(std::move(entry))
    , m_key(std::move(key))
{
}

awaitable<result<std::string>> fleet_reader::get(std::string address, std::string target)
{
    http_request request { http::verb::get, target, 11 };
    request.set(http::field::authorization, "Bearer " + m_key);
    auto response = co_await m_client.fetch(address, std::move(request), readTimeout);
    if (!response)
        co_return response.error();
    if (response.value().result() != http::status::ok) {
        const auto stated = failureFromHeaders(response.value());
        co_return notRun(failure_reason::backend_error, address + target + ": status " + std::to_string(response.value().result_int()) + (stated ? ", " + stated->message : ""));
    }
    co_return std::move(response.value().body());
}

awaitable<result<json::object>> fleet_reader::getObject(std::string address, std::string target)
{
    const auto body = co_await get(address, target);
    if (!body)
        co_return body.error();
    boost::system::error_code error;
    json::value parsed = json::parse(body.value(), error);
    if (error || !parsed.is_object())
        co_return notRun(failure_reason::backend_error, address + target + ": not a JSON object");
    co_return std::move(parsed.get_object());
}

awaitable<result<std::vector<process_status>>> fleet_reader::statuses()
{
    const auto page = co_await getObject(m_entry, "/operator/status");
    if (!page)
        co_return page.error();
    std::vector<process_status> all(1);
    all[0].address = m_entry;
    fill(all[0], page.value());
    const json::value* const vms = page.value().if_contains("vms");
    if (!vms)
        co_return all;
    for (const json::value& vm : vms->as_array()) {
        process_status status;
        status.name = textIn(vm.as_object(), "name");
        status.zone = textIn(vm.as_object(), "zone");
        status.role = textIn(vm.as_object(), "role");
        status.address = textIn(vm.as_object(), "address");
        if (status.name == all[0].name)
            continue;
        const auto own = co_await getObject(status.address, "/operator/status");
        if (own)
            fill(status, own.value());
        all.push_back(std::move(status));
    }
    co_return all;
}

awaitable<result<declaration>> fleet_reader::inForce()
{
    const auto text = co_await get(m_entry, "/operator/declaration");
    if (!text)
        co_return text.error();
    auto parsed = declaration::parse(text.value(), m_entry);
    if (!parsed)
        co_return notRun(failure_reason::backend_error, toString(parsed.error()));
    co_return std::move(parsed.value());
}

awaitable<result<std::vector<timeline_event>>> fleet_reader::timeline()
{
    const auto processes = co_await statuses();
    if (!processes)
        co_return processes.error();
    std::vector<timeline_event> events;
    for (const auto& process : processes.value()) {
        const auto page = co_await getObject(process.address, "/operator/timeline");
        if (!page)
            continue;
        const json::value* const list = page.value().if_contains("events");
        if (!list)
            continue;
        for (const json::value& event : list->as_array())
            events.push_back(parseEvent(event.as_object()));
    }
    co_return mergeTimelines(std::move(events));
}

} // namespace rampgap::ctl
