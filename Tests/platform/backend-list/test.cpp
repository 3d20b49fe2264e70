// Which listed servers get requests: entries that lapse in an outage, reused addresses, failed attempts.
#include "policy/routing/backend_directory.h"

#include <doctest/doctest.h>

using namespace rampgap;

namespace {

const instant zero {};
const instant doubtEnds = zero + milliseconds(2'000);

listed_backend server(const std::string& id, const std::string& address, std::uint64_t createdAt)
{
    return { id, "model", address, "a", 12, false, createdAt };
}

} // namespace

TEST_CASE("of two entries with one address only the newer one gets requests")
{
    backend_directory list;
    list.list(server("new", "10.0.0.1:80", 9));
    list.list(server("old", "10.0.0.1:80", 3));
    list.list(server("other", "10.0.0.2:80", 1));
    CHECK(list.pool("model") == std::vector<std::string> { "new", "other" });
    CHECK(list.findByAddress("10.0.0.1:80")->id == "new");
    list.unlist("old", zero, zero);
    CHECK(list.acceptsWork("new"));
}

TEST_CASE("an entry removed while the list is not in doubt is dropped at once, and an older one at its address is valid again")
{
    backend_directory list;
    list.list(server("first", "10.0.0.1:80", 3));
    list.list(server("second", "10.0.0.1:80", 9));
    list.unlist("second", zero, zero);
    CHECK(list.pool("model") == std::vector<std::string> { "first" });
}

TEST_CASE("an entry that lapses while the list is in doubt is kept until the doubt ends")
{
    backend_directory list;
    list.list(server("a", "10.0.0.1:80", 1));
    list.unlist("a", zero, doubtEnds);
    list.removeExpired(doubtEnds - milliseconds(1));
    CHECK(list.acceptsWork("a"));
    SUBCASE("it is listed again")
    {
        list.list(server("a", "10.0.0.1:80", 1));
        list.removeExpired(doubtEnds);
        CHECK(list.acceptsWork("a"));
    }
    SUBCASE("it stays missing")
    {
        // Not any longer: the server may have left without announcing it.
        list.removeExpired(doubtEnds);
        CHECK(list.pool("model").empty());
    }
}

TEST_CASE("a draining server gets no requests, and is not kept if it lapses")
{
    backend_directory list;
    auto leaving = server("a", "10.0.0.1:80", 1);
    leaving.draining = true;
    list.list(leaving);
    CHECK_FALSE(list.acceptsWork("a"));
    list.unlist("a", zero, doubtEnds);
    CHECK(list.find("a") == nullptr);
}

TEST_CASE("a server that cannot be reached is avoided for longer each time, then tried again")
{
    backend_directory list;
    list.list(server("a", "10.0.0.1:80", 1));
    list.recordResult("a", attempt_result::unreachable, zero);
    const auto first = list.health("a").avoidedUntil - zero;
    list.recordResult("a", attempt_result::unreachable, zero);
    CHECK(list.health("a").avoidedUntil - zero > first);
    CHECK(list.avoided("a", zero));
    CHECK_FALSE(list.avoided("a", zero + milliseconds(10'000)));
    CHECK(list.acceptsWork("a"));
}

TEST_CASE("a server that fails half of its attempts is avoided, one that fails rarely is not")
{
    backend_directory list;
    list.list(server("grey", "10.0.0.1:80", 1));
    list.list(server("good", "10.0.0.2:80", 1));
    for (int i = 0; i < 20; ++i) {
        list.recordResult("grey", i % 2 == 0 ? attempt_result::failed : attempt_result::answered, zero);
        list.recordResult("good", i % 20 == 0 ? attempt_result::failed : attempt_result::answered, zero);
    }
    CHECK(list.avoided("grey", zero));
    CHECK_FALSE(list.avoided("good", zero));
}

TEST_CASE("with a retention for lapsed entries, a lapsed entry is kept, but not one that was draining")
{
    backend_directory list(milliseconds(5'000));
    list.list(server("cut", "10.0.0.1:80", 1));
    listed_backend leaving = server("leaving", "10.0.0.2:80", 2);
    leaving.draining = true;
    list.list(leaving);
    list.unlist("cut", zero, zero);
    list.unlist("leaving", zero, zero);
    list.removeExpired(zero + milliseconds(4'999));
    CHECK(list.pool("model") == std::vector<std::string> { "cut" });
    CHECK(list.find("leaving") == nullptr);
    // A newer server at its address replaces it at once.
    list.list(server("new", "10.0.0.1:80", 3));
    CHECK(list.pool("model") == std::vector<std::string> { "new" });
    list.removeExpired(zero + milliseconds(5'000));
    CHECK(list.find("cut") == nullptr);
}

TEST_CASE("a server restarted under its id starts with an empty record")
{
    backend_directory list;
    auto first = server("a", "10.0.0.1:80", 1);
    first.incarnation = 1'000;
    CHECK_FALSE(list.list(first));
    for (int i = 0; i < 20; ++i)
        list.recordResult("a", attempt_result::failed, zero);
    list.recordResult("a", attempt_result::replaced, zero);
    CHECK_FALSE(list.acceptsWork("a"));
    // Another entry of the same incarnation changes nothing.
    first.capacity = 6;
    CHECK_FALSE(list.list(first));
    CHECK_FALSE(list.acceptsWork("a"));
    // Its clock may have been set back in between.
    auto second = first;
    second.incarnation = 900;
    CHECK(list.list(second));
    CHECK(list.acceptsWork("a"));
    CHECK_FALSE(list.avoided("a", zero));
    CHECK(list.health("a").failureShare == 0);
}

TEST_CASE("an entry of a service that is not configured takes no address over")
{
    backend_directory list;
    list.list(server("model", "10.0.0.1:80", 3));
    auto foreign = server("foreign", "10.0.0.1:80", 9);
    foreign.service = "unheard-of";
    list.list(foreign);
    // Without a configuration all services count.
    CHECK_FALSE(list.acceptsWork("model"));
    list.setServices({ "model" });
    CHECK(list.acceptsWork("model"));
    auto another = foreign;
    another.id = "another";
    another.createdAt = 12;
    list.list(another);
    CHECK(list.acceptsWork("model"));
    list.setServices({ "model", "unheard-of" });
    CHECK_FALSE(list.acceptsWork("model"));
}

TEST_CASE("a server that moves frees its former address")
{
    backend_directory list;
    list.list(server("old", "10.0.0.1:80", 3));
    list.list(server("mover", "10.0.0.1:80", 9));
    CHECK_FALSE(list.acceptsWork("old"));
    list.list(server("mover", "10.0.0.2:80", 9));
    CHECK(list.acceptsWork("old"));
}

// A restored store reuses revision numbers: a server that took over an address after the restoration had a lower creation
// revision (38) than the one before it (40), which was missing from the list but still kept, and got no requests.
TEST_CASE("an entry that is missing from the list does not shut out a listed one at its address")
{
    backend_directory list;
    list.list(server("lost", "10.0.0.1:80", 40));
    list.unlist("lost", zero, doubtEnds);
    CHECK(list.pool("model") == std::vector<std::string> { "lost" });
    list.list(server("next", "10.0.0.1:80", 38));
    CHECK(list.pool("model") == std::vector<std::string> { "next" });
    list.removeExpired(doubtEnds);
    CHECK(list.pool("model") == std::vector<std::string> { "next" });
}

TEST_CASE("a server that announced that it is leaving gets no more requests in its incarnation, whatever the list says")
{
    backend_directory list;
    listed_backend leaving = server("s", "10.0.0.1:80", 1);
    leaving.incarnation = 100;
    list.list(leaving);
    CHECK(list.recordLeaving("s", zero));
    CHECK_FALSE(list.recordLeaving("s", zero));
    CHECK(list.pool("model").empty());
    list.list(leaving);
    CHECK_FALSE(list.acceptsWork("s"));
    list.unlist("s", zero, doubtEnds);
    list.removeExpired(doubtEnds);
    list.list(leaving);
    CHECK_FALSE(list.acceptsWork("s"));
    leaving.incarnation = 200;
    list.list(leaving);
    CHECK(list.acceptsWork("s"));
}

TEST_CASE("a server that left long ago is forgotten, one that is still listed is not")
{
    backend_directory list;
    list.list(server("stays", "10.0.0.1:80", 1));
    list.list(server("gone", "10.0.0.2:80", 1));
    list.recordLeaving("stays", zero);
    list.recordLeaving("gone", zero);
    list.unlist("gone", zero, zero);
    list.removeExpired(zero + std::chrono::minutes(9));
    list.removeExpired(zero + std::chrono::minutes(11));
    list.list(server("gone", "10.0.0.2:80", 1));
    CHECK_FALSE(list.acceptsWork("stays"));
    CHECK(list.acceptsWork("gone"));
}
