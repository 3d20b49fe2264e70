// Guards against listings that end early, or never, because of an odd page, and against keys that end the request for the next page.
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

std::string page(const std::string& items, bool more)
{
    return R"({"items":[)" + items + R"(],"has_more":)" + (more ? "true" : "false") + R"(,"read_revision":9})";
}

std::string item(const std::string& key)
{
    return R"({"key":")" + key + R"(","value":"eA==","revision":1,"created":1})";
}

// Answers each request with the next of the prepared pages, and the last of them again and again.
class paged_store : public http_handler {
public:
    awaitable<void> handle(http_exchange& exchange) override
    {
        targets.emplace_back(exchange.request().target());
        auto response = makeResponse(200, "application/json", pages.front());
        response.set("Store-Era", epoch);
        if (pages.size() > 1)
            pages.pop_front();
        co_await exchange.send(std::move(response));
    }

    std::deque<std::string> pages;
    std::vector<std::string> targets;
    std::string epoch = "1";
};

struct reading_process {
    explicit reading_process(std::deque<std::string> pages)
    {
        store.pages = std::move(pages);
        auto opened = http_server::listen(context, "127.0.0.1:0", {}, store);
        REQUIRE(opened);
        server = std::move(opened.value());
        client.emplace(context, log, "127.0.0.1:" + std::to_string(server->port()));
    }

    // Empty if the listing does not end.
    std::optional<result<published_snapshot>> list()
    {
        std::optional<result<published_snapshot>> read;
        asio::co_spawn(
            context.io(), [&]() -> awaitable<void> { read = co_await client->readAll(); context.io().stop(); }, asio::detached);
        context.io().restart();
        context.io().run_for(milliseconds(1'500));
        return read;
    }

    process_context context { "entry", "a", "entry" };
    decision_log log { "entry", STDERR_FILENO };
    paged_store store;
    std::unique_ptr<http_server> server;
    std::optional<platform::store_client> client;
};

} // namespace

TEST_CASE("a first page without a usable item is not taken for the whole list")
{
    reading_process process({ page("7", true), page(item("servers/b"), false) });
    const auto read = process.list();
    REQUIRE(read);
    CHECK_FALSE(*read);
}

TEST_CASE("a page that adds nothing does not make a listing go on for ever")
{
    reading_process process({ page(item("servers/a"), true), page("", true) });
    const auto read = process.list();
    REQUIRE(read);
    CHECK_FALSE(*read);
    CHECK(process.store.targets.size() == 2);
}

TEST_CASE("a key of any characters is named whole in the request for the next page")
{
    reading_process process({ page(item(R"(servers/a b&after=z#\r\nX: 1%ü)"), true), page(item("servers/c"), false) });
    const auto read = process.list();
    REQUIRE(read);
    REQUIRE(*read);
    CHECK(read->value().items.size() == 2);
    REQUIRE(process.store.targets.size() == 2);
    CHECK(process.store.targets.back() == "/api/kv-range?path_prefix=&after=servers/a%20b%26after%3Dz%23%0D%0AX%3A%201%25%C3%BC");
}

TEST_CASE("a negative epoch is not above all that follow")
{
    reading_process process({ page(item("servers/a"), false) });
    process.store.epoch = "-1";
    const auto read = process.list();
    REQUIRE(read);
    REQUIRE(*read);
    CHECK(read->value().epoch == 0);
}
