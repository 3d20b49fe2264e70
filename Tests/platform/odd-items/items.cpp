// Guards against machines that end, or stop following the store, because one item of it is odd: an answer in which one item had a member of
// another type was refused as a whole, again and again, so that no later change was followed until that item was gone.
#include "platform/store_client.h"

#include <doctest/doctest.h>

using namespace rampgap;
using namespace rampgap::platform;

namespace {

std::string itemText(const std::string& members)
{
    return R"({"key":"servers/sound","value":"e30=","revision":4,"created":3,"lease":0},{)" + members + R"(},{"key":"servers/later","value":"e30=","revision":7,"created":7})";
}

std::string pageText(const std::string& members)
{
    return R"({"items":[)" + itemText(members) + R"(],"has_more":false,"read_revision":9})";
}

std::string answerText(const std::string& members)
{
    return R"({"events":[)" + itemText(members) + R"(],"read_revision":9})";
}

} // namespace

TEST_CASE("an odd item keeps no other item of its answer from being followed")
{
    const std::vector<std::string> odd {
        R"("value":"e30=","revision":5)",
        R"("key":7,"value":"e30=","revision":5)",
        R"("key":"","value":"e30=","revision":5)",
        R"("key":"servers/odd","value":7,"revision":5)",
        R"("key":"servers/odd","value":null,"revision":5)",
        R"("key":"servers/odd","value":{"state":"ready"},"revision":5)",
        R"("key":"servers/odd","value":"e30=")",
        R"("key":"servers/odd","value":"e30=","revision":-5)",
        R"("key":"servers/odd","value":"e30=","revision":"5")",
        R"("key":"servers/odd","value":"e30=","revision":1e400)",
        R"("key":"servers/odd","value":"e30=","revision":18446744073709551616)",
        R"("key":"servers/odd","value":"e30=","revision":5,"created":-1)",
        R"("key":"servers/odd","value":"e30=","revision":5,"created":0.5)",
    };
    for (const auto& members : odd) {
        INFO(members);
        published_snapshot snapshot;
        REQUIRE(decodeRangePage(pageText(members), snapshot));
        REQUIRE_FALSE(snapshot.items.empty());
        CHECK(snapshot.items.front() == published_item { "servers/sound", "{}", 4, 3 });
        CHECK(snapshot.items.back() == published_item { "servers/later", "{}", 7, 7 });
        const auto update = decodeWatchAnswer(answerText(members));
        REQUIRE(update);
        CHECK(update.value().changes.front().item.key == "servers/sound");
        CHECK(update.value().changes.back().item.key == "servers/later");
        CHECK(update.value().revision == 9);
    }
}

TEST_CASE("an item that is no object, or whose key is no text, does not hide the others")
{
    published_snapshot snapshot;
    REQUIRE(decodeRangePage(R"({"items":[7,null,[],{"key":"servers/later","value":"e30=","revision":7}],"read_revision":9})", snapshot));
    CHECK(snapshot.items.size() == 1);
    // Bytes that are no text cannot be sent on to peers as a key.
    published_snapshot second;
    REQUIRE(decodeRangePage("{\"items\":[{\"key\":\"servers/\xFF\",\"value\":\"e30=\",\"revision\":5},{\"key\":\"servers/later\",\"value\":\"e30=\",\"revision\":7}],\"read_revision\":9}", second));
    CHECK(second.items.size() == 1);
}

TEST_CASE("a value that is not base64 with padding is no value, and is not written beyond its end")
{
    for (const std::string value : { "e30", "e3", "e", "e30=e30=", "e3=0", "====", "e30=====", "e 0=", "ey J9", "MDEyMzQ1Njc4OTAxMjM0NTY3ODkwMTIzNDU2Nzg5MDEyMzQ1Njc4OTA" }) {
        INFO(value);
        published_snapshot snapshot;
        REQUIRE(decodeRangePage(pageText(R"("key":"servers/odd","revision":5,"value":")" + value + "\""), snapshot));
        CHECK(std::none_of(snapshot.items.begin(), snapshot.items.end(), [](const auto& item) { return item.key == "servers/odd" && !item.value.empty(); }));
    }
}

TEST_CASE("an item with a revision beyond the store's own does not hide the later changes of its key")
{
    published_snapshot snapshot;
    REQUIRE(decodeRangePage(pageText(R"("key":"servers/odd","value":"e30=","revision":18446744073709551615)"), snapshot));
    snapshot.epoch = 1;
    published_state state;
    state.apply(snapshot);
    const auto changes = state.apply({ { { "servers/odd", "changed", 10, 1 }, false } }, state.position(), 10);
    CHECK(changes.size() == 1);
}
