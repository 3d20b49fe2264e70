// Invalid settings of the daemons are reported with file, line, key and a way to correct them.

#include "daemon/settings.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

const std::string good = "[process]\nname = e1\nzone = lac\nplatform = 127.0.0.1:9000\n";

std::string faultOf(const std::string& text)
{
    const auto parsed = parseEntrySettings(text, "entry.ini");
    return parsed ? "" : toString(parsed.error());
}

} // namespace

TEST_CASE("valid settings are accepted, and defaults are filled in")
{
    const auto parsed = parseEntrySettings(good + "[limits]\nmax_body_bytes = 2048\n", "entry.ini");
    REQUIRE(parsed.has_value());
    CHECK(parsed.value().process.zone == "lac");
    CHECK(parsed.value().process.limits.maxBodyBytes == 2048);
    CHECK(parsed.value().routing == "scored");
}

TEST_CASE("each error message names the position and the correction")
{
    CHECK(faultOf("").find("add [process]") != std::string::npos);
    CHECK(faultOf("[process]\nname = e1\n").find("[process] zone: missing; add zone") != std::string::npos);
    CHECK(faultOf(good + "colour = red\n").find("entry.ini:5: [process] colour: unknown key") != std::string::npos);
    CHECK(faultOf(good + "[limits]\nmax_body_bytes = 12\n").find("from 1024 to 1073741824") != std::string::npos);
    CHECK(faultOf(good + "[entry]\nrouting = best\n").find("no policy named 'best'") != std::string::npos);
    CHECK(faultOf(good + "[agent]\nengine = 127.0.0.1:1\n").find("unknown section") != std::string::npos);
    CHECK(faultOf("[process]\nname = e1\nzone = lac\nplatform = localhost:80\n").find("not an IP number") != std::string::npos);
    CHECK(faultOf(good + "fault_switches = maybe\n").find("neither yes nor no") != std::string::npos);
}

TEST_CASE("overrides replace and add keys, and are validated like the file")
{
    const auto text = applyOverrides(good, { "process.zone=ariana", "limits.max_connections=7" });
    REQUIRE(text.has_value());
    const auto parsed = parseEntrySettings(text.value(), "entry.ini");
    REQUIRE(parsed.has_value());
    CHECK(parsed.value().process.zone == "ariana");
    CHECK(parsed.value().process.limits.maxConnections == 7);
    CHECK(applyOverrides(good, { "zone" }).has_error());
}

TEST_CASE("arbitrary text is refused without a crash")
{
    CHECK(rc::check("any settings", [](const std::string& text) { RC_ASSERT(parseAgentSettings(text, "f").has_error()); }));
}
