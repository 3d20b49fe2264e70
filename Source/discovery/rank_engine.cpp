#include "discovery/rank_engine.h"

#include "daemon/http_client.h"
#include "discovery/json_reading.h"
#include "policy/groups/map_participant.h"
#include <boost/json.hpp>

namespace rampgap {

namespace json = boost::json;

namespace {

    constexpr milliseconds engineTimeout { 1'000 };
    constexpr std::size_t maxReportBytes = 4'194'304;

    result<rank_report> parseReport(const std::string& text)
    {
        boost::system::error_code error;
        const json::value parsed = json::parse(text, error);
        if (error || !parsed.is_object())
            return mayHaveRun(failure_reason::backend_error, "the engine's report is not a JSON object");
        const json::object& object = parsed.get_object();
        rank_report report;
        report.state = { numberIn(object, "step"), numberIn(object, "committed_map"), numberIn(object, "committed_step"), numberIn(object, "staged_map"), numberIn(object, "staged_step") };
        report.capabilities = { flagIn(object, "gates_at_step"), flagIn(object, "checks_fencing") };
        if (const json::value* counts = object.if_contains("expert_counts"); counts && counts->is_array()) {
            for (const json::value& count : counts->get_array())
                report.expertCounts.push_back(count.to_number<double>(error));
        }
        if (const json::value* time = object.if_contains("time_per_work"); time && time->is_number())
            report.timePerWork = time->to_number<double>(error);
        return report;
    }

    class http_rank_engine : public rank_engine {
    public:
        http_rank_engine(http_client& client, std::string address)
            : m_client(client)
            , m_address(std::move(address))
        {
        }

        awaitable<result<rank_report>> report() override
        {
            http_request request { http::verb::get, "/rank/report", 11 };
            auto reported = co_await send(std::move(request));
            co_return reported;
        }

        awaitable<result<rank_report>> carryOut(engine_order order, std::vector<std::uint32_t> placement, std::uint64_t fence) override
        {
            static constexpr const char* names[] = { "none", "stage", "commit", "abort" };
            json::object body {
                { "kind", names[static_cast<int>(order.kind)] },
                { "map", order.map },
                { "step", order.step },
                { "fence", fence },
                { "placement", json::array(placement.begin(), placement.end()) },
            };
            http_request request { http::verb::post, "/rank/order", 11 };
            request.body() = json::serialize(body);
            auto reported = co_await send(std::move(request));
            if (reported && !isCarriedOut(order, reported.value().state))
                co_return mayHaveRun(failure_reason::backend_error, "the engine's report does not show the order");
            co_return reported;
        }

    private:
        // On a connection of its own: on a kept one a second copy of an earlier answer could pass for the state after this request.
        awaitable<result<rank_report>> send(http_request request)
        {
            http_call call(m_client);
            call.useFreshConnection();
            // Closed with the call, in place of returning to the pool.
            call.keepForNext(true);
            const auto head = co_await call.start(m_address, std::move(request), boot_clock::now() + engineTimeout);
            if (!head)
                co_return head.error();
            const auto body = co_await call.readAll(maxReportBytes);
            if (!body)
                co_return body.error();
            if (head.value().result() != http::status::ok)
                co_return mayHaveRun(failure_reason::backend_error, "the engine refused the request: " + body.value());
            co_return parseReport(body.value());
        }

        http_client& m_client;
        std::string m_address;
    };

} // namespace

std::unique_ptr<rank_engine> rank_engine::makeHttp(http_client& client, std::string address)
{
    return std::make_unique<http_rank_engine>(client, std::move(address));
}

} // namespace rampgap
