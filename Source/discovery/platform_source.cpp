#include "discovery/platform_source.h"

#include "daemon/http_client.h"
#include <boost/json.hpp>

namespace rampgap {

namespace json = boost::json;

namespace {

    constexpr milliseconds readTimeout { 2'000 };

    failure malformed(const std::string& what)
    {
        return notRun(failure_reason::backend_error, "configuration service: " + what);
    }

    class http_platform_source : public platform_source {
    public:
        http_platform_source(process_context& context, http_client& client, std::string address)
            : m_context(context)
            , m_client(client)
            , m_address(std::move(address))
        {
        }

        awaitable<result<std::vector<published_document>>> latestDeclarations(int count) override
        {
            return documents("/v1/declarations/last?count=" + std::to_string(count), readTimeout);
        }

        awaitable<result<std::vector<published_document>>> watchDeclarations(std::uint64_t revision, milliseconds wait) override
        {
            return documents("/v1/declarations?after=" + std::to_string(revision) + "&wait_ms=" + std::to_string(wait.count()), wait + readTimeout);
        }

        awaitable<result<vm_list>> watchVms(store_position known, milliseconds wait) override
        {
            const auto body = co_await get("/v1/vms?epoch=" + std::to_string(known.epoch) + "&after=" + std::to_string(known.revision) + "&wait_ms=" + std::to_string(wait.count()), wait + readTimeout);
            if (!body)
                co_return body.error();
            auto list = parseVmList(body.value());
            if (!list)
                co_return malformed(list.error());
            co_return std::move(list.value());
        }

    private:
        awaitable<result<std::string>> get(std::string target, milliseconds timeout)
        {
            m_context.counters().add(metric::platform_reads);
            http_request request { http::verb::get, target, 11 };
            auto response = co_await m_client.fetch(m_address, std::move(request), timeout);
            if (!response)
                co_return response.error();
            if (response.value().result() != http::status::ok)
                co_return malformed("status " + std::to_string(response.value().result_int()));
            co_return std::move(response.value().body());
        }

        awaitable<result<std::vector<published_document>>> documents(std::string target, milliseconds timeout)
        {
            const auto body = co_await get(std::move(target), timeout);
            if (!body)
                co_return body.error();
            boost::system::error_code error;
            const json::value parsed = json::parse(body.value(), error);
            const json::object* answer = error ? nullptr : parsed.if_object();
            const json::value* list = answer ? answer->if_contains("documents") : nullptr;
            if (!list || !list->is_array())
                co_return malformed("the answer contains no array \"documents\"");
            std::vector<published_document> published;
            for (const json::value& item : list->get_array()) {
                const json::object* const document = item.if_object();
                const json::value* const number = document ? document->if_contains("number") : nullptr;
                const json::value* const text = document ? document->if_contains("text") : nullptr;
                if (!number || !number->is_number() || !text || !text->is_string())
                    co_return malformed("a document has no number or no text");
                published.push_back({ number->to_number<std::uint64_t>(error), std::string(text->get_string()) });
            }
            co_return published;
        }

        process_context& m_context;
        http_client& m_client;
        std::string m_address;
    };

} // namespace

std::unique_ptr<platform_source> platform_source::makeHttp(process_context& context, http_client& client, std::string address)
{
    return std::make_unique<http_platform_source>(context, client, std::move(address));
}

} // namespace rampgap
