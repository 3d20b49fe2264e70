// Guards against a reading that mixes revisions from before and after a restoration of the store. The store may be
// restored between two pages of a listing or between a watch and its answer, so each answer carries the store's epoch.
#include "daemon/http_server.h"
#include "platform/store_client.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <deque>
#include <doctest/doctest.h>
#include <unistd.h>

using namespace rampgap;

namespace {

namespace asio = boost::asio;

http_response answer(int status, const std::string& epoch, const std::string& body = "")
{
    auto response = makeResponse(status, "application/json", body);
    if (!epoch.empty())
        response.set("Store-Era", epoch);
    return response;
}

std::string page(const std::string& key, store_revision revision, bool more)
{
    return R"({"items":[{"key":")" + key + R"(","value":"eA==","revision":1,"created":1,"lease":0}],"has_more":)" + (more ? "true" : "false") + R"(,"read_revision":)" + std::to_string(revision) + "}";
}

// Answers each request with the next of the prepared answers.
class scripted_store : public http_handler {
public:
    awaitable<void> handle(http_exchange& exchange) override
    {
        auto next = std::move(answers.front());
        answers.pop_front();
        co_await exchange.send(std::move(next));
    }

    std::deque<http_response> answers;
};

struct reading_process {
    reading_process()
    {
        auto opened = http_server::listen(context, "127.0.0.1:0", {}, store);
        REQUIRE(opened);
        server = std::move(opened.value());
        client.emplace(context, log, "127.0.0.1:" + std::to_string(server->port()));
    }

    result<published_snapshot> list()
    {
        std::optional<result<published_snapshot>> read;
        asio::co_spawn(
            context.io(), [&]() -> awaitable<void> { read = co_await client->readAll(); context.io().stop(); }, asio::detached);
        context.io().restart();
        context.io().run();
        return *read;
    }
    result<published_update> watch()
    {
        std::optional<result<published_update>> read;
        asio::co_spawn(
            context.io(), [&]() -> awaitable<void> { read = co_await client->watch(4, milliseconds(0)); context.io().stop(); }, asio::detached);
        context.io().restart();
        context.io().run();
        return *read;
    }

    process_context context { "entry", "a", "entry" };
    decision_log log { "entry", STDERR_FILENO };
    scripted_store store;
    std::unique_ptr<http_server> server;
    std::optional<platform::store_client> client;
};

} // namespace

TEST_CASE("a listing whose pages differ in epoch is an error")
{
    reading_process process;
    process.store.answers.push_back(answer(200, "2", page("a", 7, true)));
    process.store.answers.push_back(answer(200, "2", page("b", 8, false)));
    const auto whole = process.list();
    REQUIRE(whole);
    CHECK(whole.value().position() == store_position { 2, 7 });
    CHECK(whole.value().items.size() == 2);
    process.store.answers.push_back(answer(200, "2", page("a", 9, true)));
    process.store.answers.push_back(answer(200, "3", page("b", 6, false)));
    CHECK_FALSE(process.list());
}

TEST_CASE("the answer to a watch carries the epoch, also if the store no longer has the changes")
{
    reading_process process;
    process.store.answers.push_back(answer(200, "3", R"({"events":[],"read_revision":9})"));
    const auto changes = process.watch();
    REQUIRE(changes);
    CHECK(changes.value().epoch == 3);
    process.store.answers.push_back(answer(410, "4"));
    const auto gone = process.watch();
    REQUIRE(gone);
    CHECK(gone.value().historyLost);
    CHECK(gone.value().epoch == 4);
}

TEST_CASE("a store that sends no epoch, or one that is not a number, is in epoch 0")
{
    for (const std::string epoch : { "", "x" }) {
        CAPTURE(epoch);
        reading_process process;
        process.store.answers.push_back(answer(200, epoch, page("a", 7, false)));
        const auto listing = process.list();
        REQUIRE(listing);
        CHECK(listing.value().position() == store_position { 0, 7 });
    }
}
