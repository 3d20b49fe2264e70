// Entries of backend servers, also those that another writer left: they name a server whole or none.
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

std::string with(const std::string& part, const std::string& instead)
{
    std::string text = entryText;
    REQUIRE(text.find(part) != std::string::npos);
    return text.replace(text.find(part), part.size(), instead);
}

} // namespace

TEST_CASE("an entry of a server is read with the start of its process")
{
    const auto read = decode(entryText);
    REQUIRE(read);
    CHECK(read.value() == listed_backend { "i1", "m", "10.0.0.1:80", "a", 12, false, 5, 1'760'000'000'123 });
    // Servers of earlier versions do not tell it.
    const auto earlier = decode(with(R"(,"born":1760000000123)", ""));
    REQUIRE(earlier);
    CHECK(earlier.value().incarnation == 0);
    const auto leaving = decode(with("ready", "draining"));
    REQUIRE(leaving);
    CHECK(leaving.value().draining);
}

TEST_CASE("an entry that lacks a field, or has one of another type, names no server")
{
    const std::vector<std::string> broken {
        "",
        "null",
        "[]",
        "not json",
        "{\"service\":\"m\"",
        "\xFF\xFE{}",
        with(R"("service":"m",)", ""),
        with(R"("service":"m")", R"("service":7)"),
        with(R"("service":"m")", R"("service":"")"),
        with(R"("address":"10.0.0.1:80",)", ""),
        with("10.0.0.1:80", "10.0.0.1"),
        with("10.0.0.1:80", "10.0.0.1:99999"),
        with("10.0.0.1:80", "10.0.0.1:"),
        with("10.0.0.1:80", "somewhere"),
        with(R"("zone":"a",)", ""),
        with(R"("zone":"a")", R"("zone":["a"])"),
        with(R"("capacity":12)", R"("capacity":"12")"),
        with(R"("capacity":12)", R"("capacity":1.5)"),
        with(R"("capacity":12)", R"("capacity":0)"),
        with(R"("capacity":12)", R"("capacity":-4)"),
        with(R"("capacity":12,)", ""),
        with(R"("state":"ready",)", ""),
        with(R"("state":"ready")", R"("state":true)"),
        with("ready", "open"),
        with("ready", ""),
        with(R"("sequence":4)", R"("sequence":null)"),
        with(R"("cold_remaining_ms":0)", R"("cold_remaining_ms":"0")"),
        with("1760000000123", "\"1760000000123\""),
        with("1760000000123", "1760000000.5"),
        with("1760000000123", "-1"),
        with("1760000000123", "1e30"),
    };
    for (const auto& value : broken) {
        INFO(value);
        CHECK_FALSE(decode(value));
    }
}

TEST_CASE("an entry with any byte changed is read whole, or not at all")
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
