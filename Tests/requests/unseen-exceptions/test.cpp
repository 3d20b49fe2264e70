// Guards against an exception that ends work unseen: a caller that is never answered, a loop that is gone, an answer that is waited for.
#include "daemon/http_client.h"
#include "daemon/http_server.h"
#include "daemon/scope_exit.h"
#include "daemon/sleep.h"
#include "daemon/task.h"
#include "discovery/platform_source.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

constexpr milliseconds longestWait { 2'000 };

struct reported_exceptions {
    explicit reported_exceptions(process_context& context)
    {
        context.onException([this](std::string_view task, std::string_view reason) { all.push_back(std::string(task) + ": " + std::string(reason)); });
    }

    std::vector<std::string> all;
};

awaitable<void> failAt(int& runs, int succeedsInRun)
{
    if (++runs < succeedsInRun)
        throw std::runtime_error("run " + std::to_string(runs));
    co_return;
}

// Fails before, or after, the answer has begun.
class failing_handler : public http_handler {
public:
    awaitable<void> handle(http_exchange& exchange) override
    {
        if (exchange.request().target() == "/sound") {
            co_await exchange.send(makeResponse(200, "text/plain", "sound"));
            co_return;
        }
        if (exchange.request().target() == "/begun") {
            http_head head;
            head.result(200);
            co_await exchange.begin(std::move(head));
            co_await exchange.write("some of it");
        }
        throw std::out_of_range("injected");
    }
};

awaitable<void> fetch(http_client& client, std::string address, std::string target, std::optional<result<http_response>>& answer)
{
    http_request request { http::verb::get, target, 11 };
    auto fetched = co_await client.fetch(address, std::move(request), longestWait);
    answer.emplace(std::move(fetched));
}

class fixed_answer : public http_handler {
public:
    explicit fixed_answer(std::string body)
        : m_body(std::move(body))
    {
    }
    awaitable<void> handle(http_exchange& exchange) override
    {
        co_await exchange.send(makeResponse(200, "application/json", m_body));
    }

private:
    std::string m_body;
};

awaitable<void> readDocuments(platform_source& source, std::optional<result<std::vector<published_document>>>& read)
{
    auto documents = co_await source.latestDeclarations(1);
    read.emplace(std::move(documents));
}

} // namespace

TEST_CASE("a loop that an exception ends is run again, and each exception is counted and logged")
{
    process_context context { "p", "z", "entry" };
    const reported_exceptions reported(context);
    int runs = 0;
    startLoop(context, "loop", [&runs] { return failAt(runs, 3); });
    context.io().run_for(longestWait);
    CHECK(runs == 3);
    CHECK(reported.all == std::vector<std::string> { "loop: run 1", "loop: run 2" });
    CHECK(context.counters().value(metric::task_exceptions) == 2);
}

TEST_CASE("a task that an exception ends is not run again, and what waits for it goes on")
{
    process_context context { "p", "z", "entry" };
    const reported_exceptions reported(context);
    int runs = 0;
    bool ended = false;
    const auto work = [&]() -> awaitable<void> {
        const scope_exit atEnd(context, [&ended] { ended = true; });
        co_await failAt(runs, 2);
    };
    startTask(context, "task", work());
    context.io().run_for(longestWait);
    CHECK(runs == 1);
    CHECK(ended);
    CHECK(reported.all == std::vector<std::string> { "task: run 1" });
}

TEST_CASE("the caller of a request whose handler fails is answered that it may have run, or sees its answer cut off")
{
    process_context context { "p", "z", "entry" };
    const reported_exceptions reported(context);
    failing_handler handler;
    auto server = http_server::listen(context, "127.0.0.1:0", {}, handler);
    REQUIRE(server);
    const std::string address = "127.0.0.1:" + std::to_string(server.value()->port());
    http_client client(context);
    std::optional<result<http_response>> before;
    std::optional<result<http_response>> begun;
    std::optional<result<http_response>> after;
    startTask(context, "fetch", fetch(client, address, "/before", before));
    startTask(context, "fetch", fetch(client, address, "/begun", begun));
    context.io().run_for(milliseconds(500));
    startTask(context, "fetch", fetch(client, address, "/sound", after));
    context.io().run_for(milliseconds(500));
    REQUIRE((before && begun && after));
    REQUIRE(before->has_value());
    CHECK(before->value().result_int() == 502);
    CHECK((failureFromHeaders(before->value())->ran == verdict::may_have_run));
    CHECK_FALSE(begun->has_value());
    REQUIRE(after->has_value());
    CHECK(after->value().body() == "sound");
    CHECK(reported.all == std::vector<std::string> { "request: injected", "request: injected" });
    CHECK(server.value()->openConnections() <= 1);
}

TEST_CASE("an answer of the configuration service that is no object is an error, and ends no loop")
{
    for (const char* body : { "[]", "7", "null", "{}", R"({"documents":7})", R"({"documents":[7]})", R"({"documents":[{"number":-1.5e300,"text":7}]})" }) {
        process_context context { "p", "z", "entry" };
        const reported_exceptions reported(context);
        fixed_answer handler(body);
        auto server = http_server::listen(context, "127.0.0.1:0", {}, handler);
        REQUIRE(server);
        http_client client(context);
        const auto source = platform_source::makeHttp(context, client, "127.0.0.1:" + std::to_string(server.value()->port()));
        std::optional<result<std::vector<published_document>>> read;
        startTask(context, "read", readDocuments(*source, read));
        context.io().run_for(milliseconds(300));
        REQUIRE_MESSAGE(read, body);
        CHECK_MESSAGE(!read->has_value(), body);
        CHECK(reported.all.empty());
    }
}
