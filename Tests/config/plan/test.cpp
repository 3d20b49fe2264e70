// Plans list the exact changes, costs and warnings, and are bound to base and body.

#include "policy/configuration/change_plan.h"
#include "policy/configuration/revision_chain.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

std::string backend(const std::string& name, const std::string& zone, const std::string& extra = "")
{
    return "[backend " + name + "]\nzone = " + zone + "\naddress = 127.0.0.1:1\npeer_address = 127.0.0.1:2\nserves = f\n" + extra;
}

declaration parsed(const std::string& text)
{
    return declaration::parse("[rules]\nid_life_ms = 1000\n[service f]\npath = /f\n" + text, "test").value();
}

bool mentions(const std::vector<std::string>& lines, const std::string& part)
{
    for (const auto& line : lines) {
        if (line.find(part) != std::string::npos)
            return true;
    }
    return false;
}

const declaration base = change_plan::makeFirst(parsed(backend("s1", "lac") + backend("s2", "ariana"))).declared();

} // namespace

TEST_CASE("no change gives an empty plan")
{
    CHECK(change_plan::make(base, base, 1).changes().empty());
}

TEST_CASE("draining a backend: one change, its cost, and a warning about the zone left without a backend")
{
    const auto plan = change_plan::make(base, *base.withDraining("s2"), 4);
    REQUIRE(plan.changes().size() == 1);
    CHECK(plan.changes()[0] == declared_change { change_kind::modify, "backend s2", "draining", "no", "yes" });
    CHECK(plan.declared().link().revision == 5);
    CHECK(plan.declared().link().baseRevision == 1);
    CHECK(mentions(plan.costs(), "of the ids"));
    CHECK(mentions(plan.warnings(), "no backend server left in zone ariana"));
}

TEST_CASE("a backend that stops without draining and a longer id life give warnings")
{
    const auto stopped = change_plan::make(base, parsed(backend("s1", "lac") + backend("s2", "ariana", "stopped = yes\n")), 1);
    CHECK(mentions(stopped.warnings(), "without draining"));
    const auto removed = change_plan::make(base, parsed(backend("s1", "lac")), 1);
    CHECK(mentions(removed.warnings(), "without draining"));
    const auto longer = change_plan::make(base, declaration::parse("[rules]\nid_life_ms = 2000\n[service f]\npath = /f\n" + backend("s1", "lac") + backend("s2", "ariana"), "t").value(), 1);
    CHECK(mentions(longer.warnings(), "longer id_life_ms"));
}

TEST_CASE("the planned declaration is accepted on its base and on no other")
{
    const auto plan = change_plan::make(base, *base.withDraining("s2"), 1);
    revision_chain chain;
    CHECK((chain.offer(plan.declared().canonicalText(), document_source::service).kind == offer_kind::refused));
    CHECK((chain.offer(base.canonicalText(), document_source::service).kind == offer_kind::accepted));
    CHECK((chain.offer(plan.declared().canonicalText(), document_source::service).kind == offer_kind::accepted));
}
