#include "standin/platform_standin.h"

#include "daemon/boot_timer.h"
#include "daemon/operator_pages.h"
#include <algorithm>
#include <boost/asio/as_tuple.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/json.hpp>
#include <cstdlib>

namespace rampgap::standin {

namespace asio = boost::asio;
namespace json = boost::json;

namespace {

    constexpr std::string_view declarationPath = "/v1/declarations/";
    constexpr std::size_t manyDocuments = 64;

} // namespace

platform_standin::platform_standin(process_context& context)
    : m_context(context)
    , m_change(context.io(), instant::max())
{
}

awaitable<void> platform_standin::handle(http_exchange& exchange)
{
    auto response = co_await answer(exchange.request());
    co_await exchange.send(std::move(response));
}

awaitable<http_response> platform_standin::answer(const http_request& request)
{
    const std::string target(request.target());
    const std::string path = pathOf(target);
    if (path == "/standin/faults")
        co_return setFaults(target);
    if (path == "/standin/reads")
        co_return makeResponse(200, "text/plain", std::to_string(m_reads));
    if (request.method() != http::verb::get)
        co_return publish(request, path);
    ++m_reads;
    if (m_down)
        co_return makeResponse(503, "text/plain", "down\n");
    if (path == "/v1/declarations/last")
        co_return latest(target);
    if (path == "/v1/declarations")
        co_return co_await watch(target);
    if (path == "/v1/vms")
        co_return co_await watchVms(target);
    co_return makeResponse(404, "text/plain", "no such page\n");
}

// A revision is published once: the first text under a number stays.
http_response platform_standin::publish(const http_request& request, const std::string& path)
{
    if (path == "/v1/vms") {
        auto list = parseVmList(request.body());
        if (!list)
            return makeResponse(400, "text/plain", list.error());
        m_vms = std::move(list.value());
        m_change.cancel();
        return makeResponse(200, "text/plain", "published\n");
    }
    if (!path.starts_with(declarationPath))
        return makeResponse(404, "text/plain", "no such page\n");
    const std::uint64_t revision = std::strtoull(path.c_str() + declarationPath.size(), nullptr, 10);
    if (revision == 0)
        return makeResponse(400, "text/plain", "no revision in the path\n");
    if (!m_declarations.emplace(revision, request.body()).second)
        return makeResponse(409, "text/plain", "this revision is published already\n");
    m_change.cancel();
    return makeResponse(200, "text/plain", "published\n");
}

http_response platform_standin::setFaults(const std::string& target)
{
    if (const std::string down = queryValue(target, "down"); !down.empty())
        m_down = down == "1";
    if (const std::string stale = queryValue(target, "stale_at"); !stale.empty())
        m_staleAt = stale == "off" ? UINT64_MAX : std::strtoull(stale.c_str(), nullptr, 10);
    m_change.cancel();
    return makeResponse(200, "text/plain", "ok\n");
}

std::uint64_t platform_standin::visible() const
{
    return m_declarations.empty() ? 0 : std::min(m_staleAt, m_declarations.rbegin()->first);
}

http_response platform_standin::documents(std::uint64_t after, std::size_t most) const
{
    json::array texts;
    for (const auto& [revision, text] : m_declarations) {
        if (revision > after && revision <= m_staleAt && texts.size() < most)
            texts.push_back(json::object { { "number", revision }, { "text", text } });
    }
    return makeResponse(200, "application/json", json::serialize(json::object { { "documents", std::move(texts) } }));
}

http_response platform_standin::latest(const std::string& target) const
{
    const std::uint64_t count = queryNumber(target, "count", 1);
    std::vector<std::uint64_t> revisions;
    for (const auto& [revision, text] : m_declarations) {
        if (revision <= m_staleAt)
            revisions.push_back(revision);
    }
    const std::uint64_t after = revisions.size() > count ? revisions[revisions.size() - count - 1] : 0;
    return documents(after, count);
}

awaitable<http_response> platform_standin::watch(const std::string& target)
{
    const std::uint64_t after = queryNumber(target, "after", 0);
    const instant until = m_context.now() + milliseconds(queryNumber(target, "wait_ms", 0));
    while (visible() <= after && m_context.now() < until && !m_down)
        co_await waitForChange(until);
    if (m_down)
        co_return makeResponse(503, "text/plain", "down\n");
    co_return documents(after, manyDocuments);
}

awaitable<http_response> platform_standin::watchVms(const std::string& target)
{
    const store_position held { queryNumber(target, "epoch", 0), queryNumber(target, "after", 0) };
    const instant until = m_context.now() + milliseconds(queryNumber(target, "wait_ms", 0));
    while (m_vms.position() <= held && m_context.now() < until && !m_down)
        co_await waitForChange(until);
    if (m_down)
        co_return makeResponse(503, "text/plain", "down\n");
    co_return makeResponse(200, "application/json", toJson(m_vms));
}

awaitable<void> platform_standin::waitForChange(instant until)
{
    // All watches wait on one timer; a change cancels it for all of them.
    boot_timer own(m_context.io(), until);
    if (m_change.expiry() != instant::max())
        m_change.expires_at(instant::max());
    own.async_wait([this](boost::system::error_code error) {
        if (!error)
            m_change.cancel();
    });
    co_await m_change.async_wait(asio::as_tuple(asio::use_awaitable));
}

} // namespace rampgap::standin
