// Declarations: each error is reported with file, line, key and fix; nothing is partly applied.

#include "policy/configuration/declaration.h"

#include <doctest/doctest.h>
#include <fstream>
#include <rapidcheck.h>
#include <sstream>

using namespace rampgap;

namespace {

std::string faultOf(const std::string& text)
{
    const auto parsed = declaration::parse(text, "fleet.ini");
    return parsed ? "" : toString(parsed.error());
}

std::string readExample(const std::string& name)
{
    std::ostringstream text;
    text << std::ifstream(std::string(RAMPGAP_SOURCE) + "/Examples/" + name).rdbuf();
    return text.str();
}

} // namespace

TEST_CASE("messages name file, line, key, problem and fix")
{
    CHECK(faultOf("[rules]\nid_life_ms = soon\n") == "fleet.ini:2: [rules] id_life_ms: 'soon' is not a whole number of milliseconds from 1 to 86400000; write a number in that range");
    CHECK(faultOf("[rules]\nlife = 3\n").find("fleet.ini:2: [rules] life: unknown key") != std::string::npos);
    CHECK(faultOf("[rules]\nid_life_ms = 3\nid_life_ms = 4\n").find("fleet.ini:3") != std::string::npos);
    CHECK(faultOf("[model m]\n[model m]\n").find("section appears twice, first in line 1") != std::string::npos);
    CHECK(faultOf("[thing x]\n").find("unknown kind of section") != std::string::npos);
    CHECK(faultOf("key = 1\n").find("before the first section") != std::string::npos);
    CHECK(faultOf("[backend b]\nzone = z\naddress = host:80\npeer_address = 127.0.0.1:1\nserves = m\n").find("not an IP number and port") != std::string::npos);
    CHECK(faultOf("[workspace w]\nkey_digest = short\n").find("SHA-256") != std::string::npos);
    CHECK(faultOf("[group g]\nmodel = m\nranks = x\nexperts = 8\nslots_per_rank = 2\n").find("fewer slots than experts") != std::string::npos);
}

TEST_CASE("all errors are reported at once")
{
    const auto parsed = declaration::parse("[rules]\nid_life_ms = x\nretry_percent = 101\n[group g]\nmodel = m\nranks = a\n", "f");
    REQUIRE(parsed.has_error());
    CHECK(parsed.error().size() == 4);
}

TEST_CASE("the canonical text parses to the same declaration, and no text crashes the parser")
{
    CHECK(rc::check("any text", [](const std::string& text) { RC_ASSERT(declaration::parse(text, "f").has_value() || text.size() > 0); }));
    for (const std::string name : { "agency.ini", "plakanet.ini" }) {
        const auto parsed = declaration::parse(readExample(name), name);
        REQUIRE_MESSAGE(parsed.has_value(), (parsed ? "" : toString(parsed.error())));
        CHECK(declaration::parse(parsed.value().canonicalText(), name).value() == parsed.value());
        CHECK(parsed.value().workspaces().size() == 10);
        CHECK(parsed.value().backends().size() == 15);
    }
}

TEST_CASE("corrupted examples are refused or valid, never partly applied")
{
    const std::string text = readExample("agency.ini");
    CHECK(rc::check("cut and changed", [&] {
        std::string corrupted = text;
        const auto position = *rc::gen::inRange<std::size_t>(0, corrupted.size());
        corrupted[position] = *rc::gen::arbitrary<char>();
        corrupted.resize(*rc::gen::inRange<std::size_t>(position, corrupted.size()));
        const auto parsed = declaration::parse(corrupted, "f");
        if (parsed)
            RC_ASSERT(declaration::parse(parsed.value().canonicalText(), "f").value() == parsed.value());
        else
            RC_ASSERT(!parsed.error().empty());
    }));
}
