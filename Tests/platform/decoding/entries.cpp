// Entries of backend servers in the store, which other programs may write too: each is decoded completely or rejected.
#include "platform/item_decoder.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;
using namespace rampgap::platform;

namespace {

const std::string entryText = R"({"service":"m","address":"10.0.0.1:80","zone":"a","version":"v1","capacity":12,"state":"ready","cold_remaining_ms":0,"phase":"combined","sequence":4,"born":1760000000123})";

result<listed_backend> decode(const std::string& value)
{
    return item_decoder().backend({ "servers/i1", value, 9, 5 });
}

std::string entryWith(const std::string& part, const std::string& replacement)
{
    std::string text = entryText;
    REQUIRE(text.find(part) != std::string::npos);
    return text.replace(text.find(part), part.size(), replacement);
}

} // namespace

TEST_CASE("a server's entry is decoded with the start time of its process")
{
    const auto read = decode(entryText);
    REQUIRE(read);
    CHECK(read.value() == listed_backend { "i1", "m", "10.0.0.1:80", "a", 12, false, 5, 1'760'000'000'123 });
    // Servers of earlier versions do not publish the start time.
    const auto earlier = decode(entryWith(R"(,"born":1760000000123)", ""));
    REQUIRE(earlier);
    CHECK(earlier.value().incarnation == 0);
    const auto leaving = decode(entryWith("ready", "draining"));
    REQUIRE(leaving);
    CHECK(leaving.value().draining);
}

TEST_CASE("an entry that lacks a field, or has one of another type, is rejected")
{
    const std::vector<std::string> broken {
        "",
        "null",
        "[]",
        "not json",
        "{\"service\":\"m\"",
        "\xFF\xFE{}",
        entryWith(R"("service":"m",)", ""),
        entryWith(R"("service":"m")", R"("service":7)"),
        entryWith(R"("service":"m")", R"("service":"")"),
        entryWith(R"("address":"10.0.0.1:80",)", ""),
        entryWith("10.0.0.1:80", "10.0.0.1"),
        entryWith("10.0.0.1:80", "10.0.0.1:99999"),
        entryWith("10.0.0.1:80", "10.0.0.1:"),
        entryWith("10.0.0.1:80", "somewhere"),
        entryWith(R"("zone":"a",)", ""),
        entryWith(R"("zone":"a")", R"("zone":["a"])"),
        entryWith(R"("capacity":12)", R"("capacity":"12")"),
        entryWith(R"("capacity":12)", R"("capacity":1.5)"),
        entryWith(R"("capacity":12)", R"("capacity":0)"),
        entryWith(R"("capacity":12)", R"("capacity":-4)"),
        entryWith(R"("capacity":12,)", ""),
        entryWith(R"("state":"ready",)", ""),
        entryWith(R"("state":"ready")", R"("state":true)"),
        entryWith("ready", "open"),
        entryWith("ready", ""),
        entryWith(R"("sequence":4)", R"("sequence":null)"),
        entryWith(R"("cold_remaining_ms":0)", R"("cold_remaining_ms":"0")"),
        entryWith("1760000000123", "\"1760000000123\""),
        entryWith("1760000000123", "1760000000.5"),
        entryWith("1760000000123", "-1"),
        entryWith("1760000000123", "1e30"),
    };
    for (const auto& value : broken) {
        INFO(value);
        CHECK_FALSE(decode(value));
    }
}

TEST_CASE("an entry with changed bytes is decoded completely or rejected")
{
    CHECK(rc::check([] {
        std::string text = entryText;
        const auto changes = *rc::gen::inRange(1, 4);
        for (int i = 0; i < changes; ++i)
            text[*rc::gen::inRange<std::size_t>(0, text.size())] = *rc::gen::arbitrary<char>();
        const auto read = decode(text);
        if (!read)
            return;
        RC_ASSERT(!read.value().service.empty());
        RC_ASSERT(!read.value().zone.empty());
        RC_ASSERT(read.value().address.find(':') != std::string::npos);
        RC_ASSERT(read.value().capacity >= 1);
    }));
}
