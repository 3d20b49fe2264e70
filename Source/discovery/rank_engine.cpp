#include "discovery/rank_engine.h"

#include "daemon/http_client.h"
#include "discovery/json_reading.h"
#include <boost/json.hpp>

namespace rampgap {

namespace json = boost::json;

namespace {

    constexpr milliseconds engineTimeout { 1'000 };

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
            return send(std::move(request));
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
            return send(std::move(request));
        }

    private:
        awaitable<result<rank_report>> send(http_request request)
        {
            auto response = co_await m_client.fetch(m_address, std::move(request), engineTimeout);
            if (!response)
                co_return response.error();
            if (response.value().result() != http::status::ok)
                co_return mayHaveRun(failure_reason::backend_error, "the engine refused the request: " + response.value().body());
            co_return parseReport(response.value().body());
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
