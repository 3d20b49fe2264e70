// The platform adapter decodes and encodes settings, items of the store, requests, answers, reports and orders.
#include "platform/http_codec.h"
#include "platform/item_decoder.h"
#include "platform/node_settings.h"
#include "platform/rank_client.h"
#include "platform/store_client.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;
using namespace rampgap::platform;

namespace {

const std::string settingsText = "node_name=edge-a-1\nip=10.0.0.1\nzone=a\nregion=r\nzones.a=r\nzones.b=r\nlisten.frontend=10.0.0.1:80\n"
                                 "platform.address=10.9.0.1:90\nport_range=7340,7355\nseeds=10.0.0.1:81,10.0.0.2:81\n"
                                 "bounds.revoke_ms=5000\nbounds.retry_ratio=0.25\nbounds.strict_revocation=true\nunknown.key=kept out\n";

std::string without(const std::string& line)
{
    std::string text = settingsText;
    text.erase(text.find(line), line.size());
    return text;
}

const std::string configurationText = R"({"version":7,"routes":[
 {"name":"chat","host":"h","path_prefix":"/a/","type":"streaming","timeout_ms":8000,"target_latency_ms":500,"priority":1,"backends":[{"service":"m","weight":90},{"service":"p","weight":10}],"max_attempts":2,"public":false,"session_affinity":true,"resumable":true,"target_gap_ms":120},
 {"name":"deep","host":"h","path_prefix":"/a/b/","type":"non_idempotent","timeout_ms":1500,"target_latency_ms":300,"priority":2,"service":"p","max_attempts":1,"public":true}],
 "services":[{"name":"m","health_path":"/hz","max_connections":9,"engine":{"capacity":12,"stride":4,"step_ms":4.5,"read_per_s":61400.0,"sets":4,"experts":72,"placements":8,"spare":3,"expert_mb":2200.0,"link_mbps":180000.0}},
 {"name":"p","health_path":"/hz","max_connections":9}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4096,"header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"w","api_keys":["k1","k2"],"priority":0}]})";

http_request callerRequest()
{
    http_request request { http::verb::post, "/a/x?q=1", 11 };
    request.set(http::field::host, "h");
    request.set("X-Attempt-Id", "id1");
    request.set("X-Deadline-Ms", "8000");
    request.set("X-Key", "k1");
    request.set("X-Tenant", "forged");
    request.set("X-Token-Usage", "1460,80");
    request.set("X-Prompt-Prefix", "5c:800,91:410");
    request.set("Connection", "keep-alive, X-Hop");
    request.set("X-Hop", "1");
    request.set("X-Custom", "stays");
    request.body() = "body";
    return request;
}

} // namespace

TEST_CASE("settings are read by name, and unknown ones ignored")
{
    const auto parsed = parseNodeSettings(settingsText, "node.conf");
    REQUIRE(parsed);
    CHECK(parsed.value().vmName == "edge-a-1");
    CHECK(parsed.value().zones == std::vector<std::string> { "a", "b" });
    CHECK(parsed.value().seedHosts == std::vector<std::string> { "10.0.0.1", "10.0.0.2" });
    CHECK(parsed.value().seedControlPort == 81);
    CHECK(parsed.value().firstPeerPort == 7340);
    CHECK(parsed.value().retries.ratio == doctest::Approx(0.25));
    CHECK(parsed.value().revocationBound == milliseconds(5'000));
}

TEST_CASE("an invalid setting is reported with file, line, key and remedy")
{
    struct sample {
        std::string text;
        std::string expected;
    };
    const sample samples[] = {
        { without("ip=10.0.0.1\n"), "ip: is missing" },
        { settingsText + "bounds.grace_s=soon\n", "node.conf:15: bounds.grace_s: 'soon' is not a number" },
        { settingsText + "bounds.strict_revocation=maybe\n", "neither true nor false; write one of them" },
        { settingsText + "nonsense\n", "node.conf:15: nonsense: is not of the form key=value" },
        { without("port_range=7340,7355\n"), "port_range: is not a pair of ports; write FIRST,LAST" },
        { "\xEF\xBB\xBF" + settingsText, "byte-order mark" },
        { settingsText + "seeds=elsewhere\n", "seeds" },
    };
    for (const auto& sample : samples) {
        const auto parsed = parseNodeSettings(sample.text, "node.conf");
        REQUIRE_FALSE(parsed);
        INFO(parsed.error().message);
        CHECK(parsed.error().message.find(sample.expected) != std::string::npos);
    }
}

TEST_CASE("a configuration is decoded; a request finds the route with the longest prefix and the workspace of its key")
{
    const auto decoded = item_decoder().configuration(configurationText);
    REQUIRE(decoded);
    const auto& made = *decoded.value();
    CHECK(made.version() == 7);
    CHECK(made.findRoute("h", "/a/b/c")->name == "deep");
    CHECK(made.findRoute("h", "/a/bc")->name == "chat");
    CHECK(made.findRoute("h", "/b/") == nullptr);
    CHECK(made.findRoute("other", "/a/x") == nullptr);
    CHECK(made.findRoute("h", "/a/x")->repeatable());
    CHECK_FALSE(made.findRoute("h", "/a/b/")->repeatable());
    CHECK(made.findWorkspace("k2")->name == "w");
    CHECK(made.findWorkspace("k3") == nullptr);
    CHECK(made.findService("m")->costs.newExpertsPerPrepare == 3);
    CHECK_FALSE(made.findService("p")->isModel);
    CHECK(pickService(*made.findRoute("h", "/a/x"), 0.89) == "m");
    CHECK(pickService(*made.findRoute("h", "/a/x"), 0.91) == "p");
}

TEST_CASE("a configuration with an invalid part is refused as a whole")
{
    const item_decoder decoder;
    CHECK_FALSE(decoder.configuration("{}"));
    CHECK_FALSE(decoder.configuration("not json"));
    std::string unknownService = configurationText;
    unknownService.replace(unknownService.find("\"name\":\"p\""), 10, "\"name\":\"z\"");
    const auto refused = decoder.configuration(unknownService);
    REQUIRE_FALSE(refused);
    CHECK(refused.error().message.find("unknown service 'p'") != std::string::npos);
}

TEST_CASE("decoding arbitrary bytes fails without an exception")
{
    CHECK(rc::check([] {
        const auto bytes = *rc::gen::arbitrary<std::string>();
        published_snapshot snapshot;
        RC_ASSERT(!decodeWatchAnswer(bytes));
        RC_ASSERT(!decodeRangePage(bytes, snapshot));
        RC_ASSERT(!decodeReport(bytes));
        RC_ASSERT(!decodeExpertCounts(bytes));
        RC_ASSERT(!item_decoder().configuration(bytes));
    }));
}

TEST_CASE("the answer to a watch contains changed and removed items")
{
    const auto update = decodeWatchAnswer(R"({"events":[{"key":"servers/i1","value":"e30=","revision":412,"created":400},{"key":"servers/i2","revision":413,"deleted":true}],"read_revision":413})");
    REQUIRE(update);
    REQUIRE(update.value().changes.size() == 2);
    CHECK(update.value().changes[0].item.value == "{}");
    CHECK(update.value().changes[0].item.created == 400);
    CHECK(update.value().changes[1].removed);
    CHECK(update.value().revision == 413);
}

TEST_CASE("a request is forwarded with the server's id, the workspace and the time left, without the caller's key")
{
    const http_codec codec;
    const http_request message = callerRequest();
    const auto decoded = codec.decode(message);
    REQUIRE(decoded);
    CHECK(decoded.value().path == "/a/x");
    CHECK(decoded.value().promptTokens == 1460);
    CHECK(decoded.value().promptParts.size() == 2);
    const auto upstream = codec.makeUpstream(message, decoded.value(), { "i1", "w", milliseconds(700), "12", std::nullopt });
    CHECK(upstream.target() == "/a/x?q=1");
    CHECK(upstream.body() == "body");
    CHECK(upstream["X-Deadline-Ms"] == "700");
    CHECK(upstream["X-Expected-Instance"] == "i1");
    CHECK(upstream["X-Tenant"] == "w");
    CHECK(upstream["Last-Event-Id"] == "12");
    CHECK(upstream["X-Custom"] == "stays");
    CHECK(upstream.count("X-Key") == 0);
    CHECK(upstream.count("X-Hop") == 0);
}

TEST_CASE("the priority is sent within the protocol's range, and not at all unless it is given")
{
    const http_codec codec;
    const http_request message = callerRequest();
    upstream_context facts { "i1", "w", milliseconds(700), "", std::nullopt };
    CHECK(codec.makeUpstream(message, {}, facts).count("X-Request-Priority") == 0);
    for (const auto& [priority, text] : { std::pair(-3, "0"), std::pair(2, "2"), std::pair(40, "9") }) {
        facts.priority = priority;
        CHECK(codec.makeUpstream(message, {}, facts)["X-Request-Priority"] == text);
    }
}

TEST_CASE("malformed numbers of tokens are replaced by the defaults and reported")
{
    const http_codec codec;
    http_request message = callerRequest();
    const auto read = [&](const char* counts, const char* hint) {
        message.set("X-Token-Usage", counts);
        message.set("X-Length-Hint", hint);
        const auto decoded = codec.decode(message);
        REQUIRE(decoded);
        const auto& request = decoded.value();
        return std::tuple(request.promptTokens, request.maxAnswerTokens, request.expectedAnswerTokens, request.unreadable);
    };
    using expected = std::tuple<std::int64_t, std::int64_t, std::int64_t, std::string>;
    CHECK((read("1460,80", "60") == expected(1460, 80, 60, "")));
    CHECK((read("0,0", "0") == expected(0, 0, 0, "")));
    CHECK((read("1460", "") == expected(1460, 0, 0, "")));
    CHECK((read("1460,x", "60") == expected(1460, 0, 60, "X-Token-Usage")));
    for (const char* bad : { "-1", "1000000000000000000", "99999999999999999999", "many", "1e3", ",5" }) {
        CHECK((read((std::string(bad) + ",80").c_str(), "60") == expected(0, 0, 60, "X-Token-Usage")));
        CHECK((read("1460,80", bad) == expected(1460, 80, 0, "X-Length-Hint")));
    }
}

TEST_CASE("an answer is accepted only with the request's id and the engine's signature")
{
    const http_codec codec;
    gateway_request request;
    request.id = "id1";
    http_head head;
    head.result(200);
    head.set("X-Attempt-Id", "id1");
    const auto kindOf = [&] { return codec.classify(head, request, false).kind; };
    CHECK((kindOf() == reply_kind::unreadable));
    head.set("X-Server-Signature", "s");
    CHECK((kindOf() == reply_kind::answer));
    head.set("Content-Encoding", "gzip");
    CHECK((kindOf() == reply_kind::unreadable));
    head.erase("Content-Encoding");
    head.set("X-Attempt-Id", "another");
    CHECK((kindOf() == reply_kind::unreadable));
}

TEST_CASE("the second copy of a rejection, in the place of the next request's reply, does not show that this one was not run")
{
    const http_codec codec;
    gateway_request request;
    request.id = "id1";
    for (const unsigned status : { 503U, 429U, 421U }) {
        http_head head;
        head.result(status);
        head.set("X-Not-Executed", "1");
        const reply_kind rejected = status == 421 ? reply_kind::wrong_server : reply_kind::not_executed;
        // Without an id it is this request's only if no other was sent on the connection.
        CHECK((codec.classify(head, request, true).kind == rejected));
        CHECK((codec.classify(head, request, false).kind == reply_kind::unreadable));
        head.set("X-Attempt-Id", "id0");
        CHECK((codec.classify(head, request, true).kind == reply_kind::unreadable));
        CHECK((codec.classify(head, request, false).kind == reply_kind::unreadable));
        head.set("X-Attempt-Id", "id1");
        CHECK((codec.classify(head, request, false).kind == rejected));
    }
}

TEST_CASE("a server's limit is read from an answer of any status, and a malformed limit is reported")
{
    const http_codec codec;
    http_head head;
    CHECK((codec.readNotice(head) == server_notice {}));
    for (const unsigned status : { 200U, 500U, 503U }) {
        head.result(status);
        head.set("Server-Limit", "1.25");
        CHECK((codec.readNotice(head).limitPerSecond == 1.25));
        head.set("Server-Limit", "0");
        CHECK((codec.readNotice(head).limitPerSecond == 0.0));
    }
    for (const auto* text : { "-1", "nan", "inf", "1 a second", "1,5" }) {
        head.set("Server-Limit", text);
        CHECK_FALSE(codec.readNotice(head).limitPerSecond.has_value());
        CHECK(codec.readNotice(head).unreadable == "Server-Limit");
    }
}

TEST_CASE("a backoff is read in fractions of a second, and only from an answer with status 503")
{
    const http_codec codec;
    http_head head;
    head.set("Retry-After", "2.5");
    head.result(503);
    CHECK((codec.readNotice(head).backoff == milliseconds(2'500)));
    head.set("Retry-After", "0.0001");
    CHECK((codec.readNotice(head).backoff == milliseconds(1)));
    head.set("Retry-After", "1e300");
    CHECK(codec.readNotice(head).backoff.value() > std::chrono::hours(24));
    head.set("Retry-After", "soon");
    CHECK_FALSE(codec.readNotice(head).backoff.has_value());
    CHECK(codec.readNotice(head).unreadable == "Retry-After");
    head.set("Retry-After", "2.5");
    head.result(200);
    CHECK((codec.readNotice(head) == server_notice {}));
}

TEST_CASE("an answer of any status may say that the server is leaving")
{
    const http_codec codec;
    http_head head;
    for (const unsigned status : { 200U, 500U, 503U }) {
        head.result(status);
        head.set("Server-Leaving", "1");
        CHECK(codec.readNotice(head).leaving);
        head.set("Server-Leaving", "0");
        CHECK((codec.readNotice(head) == server_notice {}));
    }
    head.set("Server-Leaving", "soon");
    CHECK_FALSE(codec.readNotice(head).leaving);
    CHECK(codec.readNotice(head).unreadable == "Server-Leaving");
}

TEST_CASE("statuses that state that a request was not run are used only if that is known")
{
    const http_codec codec;
    const auto reasons = { failure_reason::no_backend, failure_reason::queue_full, failure_reason::not_ready, failure_reason::connection_lost, failure_reason::deadline, failure_reason::backend_error };
    for (const auto reason : reasons) {
        const auto ran = codec.makeRefusal(mayHaveRun(reason, "x"), "id1");
        CHECK((ran.result_int() == 502 || ran.result_int() == 504));
        const auto never = codec.makeRefusal(notRun(reason, "x", milliseconds(250)), "id1");
        CHECK(never.result_int() == 503);
        CHECK(never["Retry-After"] == "0.25");
        CHECK(never["X-Attempt-Id"] == "id1");
    }
    CHECK(codec.makeRefusal(notRun(failure_reason::unauthenticated, "x"), "id1").result_int() == 401);
    CHECK(codec.makeRefusal(notRun(failure_reason::not_found, "x"), "id1").result_int() == 404);
}

TEST_CASE("an engine's report is decoded and an order encoded in the platform's format")
{
    const auto view = decodeReport(R"({"phase":"combined","group":{"name":"g0","epoch":3,"rank":5,"state":"open"},"size":12,"sequence":2,"queued":1,"active":12,"pace":1.5,"step":77,"mapping":128,"prepared":{"version":256},"enabled":{"version":256,"step":80},"held":80})");
    REQUIRE(view);
    CHECK(view.value().epoch == 3);
    CHECK(view.value().rank == 5);
    CHECK(view.value().open);
    CHECK(view.value().placementInUse == 128);
    CHECK(view.value().preparedPlacement == 256);
    CHECK(view.value().armedStep == 80);
    CHECK(view.value().heldStep == 80);
    map_order order;
    order.kind = map_order_kind::hold;
    order.step = 80;
    order.epoch = 3;
    order.fence = 9;
    CHECK(encodeOrder(order) == R"({"operation":"retention","epoch":3,"fencing_token":9,"step":80})");
}

TEST_CASE("a report whose rank or size no group can have is not read: it would stand for another rank, or for more than memory holds")
{
    const auto reportOf = [](const std::string& rank, const std::string& size) {
        return decodeReport(R"({"group":{"name":"g0","epoch":3,"rank":)" + rank + R"(,"state":"open"},"size":)" + size + R"(,"step":77})");
    };
    CHECK(reportOf("11", "12"));
    for (const char* rank : { "12", "-1", "4294967296", "18446744073709551615", "1.5", "1e400" })
        CHECK_MESSAGE(!reportOf(rank, "12"), std::string(rank));
    for (const char* size : { "0", "-12", "4294967295", "4294967308", "100000", "1e400" })
        CHECK_MESSAGE(!reportOf("5", size), std::string(size));
}

TEST_CASE("a pace that is no number of use counts as usual, and counts of requests beyond all bounds are not read")
{
    for (const char* pace : { "-1", "1e400", "-1e400", "null", "\"2\"" }) {
        const auto view = decodeReport(R"({"group":{"name":"g0","epoch":3,"rank":0,"state":"open"},"size":1,"pace":)" + std::string(pace) + "}");
        REQUIRE_MESSAGE(view, std::string(pace));
        CHECK_MESSAGE(view.value().pace == 1, std::string(pace));
    }
    for (const char* count : { "4294967295", "2147483648", "-1" })
        CHECK_MESSAGE(!decodeReport(R"({"queued":)" + std::string(count) + "}"), std::string(count));
}

TEST_CASE("a request with a method that the HTTP library does not know reaches the engine by its name")
{
    http_request request = callerRequest();
    request.method_string("BREW");
    const auto decoded = http_codec().decode(request);
    REQUIRE(decoded);
    const auto upstream = http_codec().makeUpstream(request, decoded.value(), upstream_context {});
    CHECK(std::string_view(upstream.method_string().data(), upstream.method_string().size()) == "BREW");
    CHECK(upstream.target() == request.target());
    CHECK(upstream.body() == "body");
}

TEST_CASE("a prompt with very many parts takes no more places among the parts that are remembered than any other")
{
    http_request request = callerRequest();
    std::string parts;
    for (int i = 0; i < 1'000; ++i)
        parts += (i == 0 ? "" : ",") + std::to_string(i) + ":1";
    request.set("X-Prompt-Prefix", parts);
    const auto decoded = http_codec().decode(request);
    REQUIRE(decoded);
    CHECK(decoded.value().promptParts.size() == 64);
    CHECK(decoded.value().promptParts.front().id == "0");
}

TEST_CASE("the age of reports is read from the service, and a service without one gets a long one")
{
    const auto lagOf = [](const std::string& member) {
        std::string text = configurationText;
        text.insert(text.find("\"capacity\""), member);
        const auto decoded = item_decoder().configuration(text);
        REQUIRE(decoded);
        return decoded.value()->findService("m")->costs.reportLag;
    };
    CHECK((lagOf("\"report_lag_ms\":200.0,") == milliseconds(200)));
    CHECK((lagOf("") == engine_costs {}.reportLag));
}
