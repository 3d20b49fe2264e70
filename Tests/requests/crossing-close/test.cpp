// Fault: an agent that stops closes a kept connection while a request is on its way to it.

#include "harness/test_fleet.h"
#include "policy/membership/rendezvous.h"
#include "policy/requests/request_id.h"

#include <boost/asio/write.hpp>
#include <csignal>
#include <doctest/doctest.h>
#include <list>
#include <thread>

using namespace rampgap::test;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

// Passes connections on to an address. While it is slow, what goes there does not arrive; what comes back does, as on a network on
// which two messages cross.
class slow_way {
public:
    explicit slow_way(int port)
        : m_target(asio::ip::address_v4::loopback(), static_cast<unsigned short>(port))
        , m_acceptor(m_io, tcp::endpoint(asio::ip::address_v4::loopback(), 0))
    {
        acceptNext();
        m_thread = std::thread([this] { m_io.run(); });
    }

    ~slow_way()
    {
        m_io.stop();
        m_thread.join();
    }

    slow_way(const slow_way&) = delete;
    slow_way& operator=(const slow_way&) = delete;

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }
    void slowDown() { m_slow = true; }
    std::size_t held() const { return m_held; }

private:
    struct connection {
        explicit connection(asio::io_context& io)
            : near(io)
            , far(io)
        {
        }

        tcp::socket near;
        tcp::socket far;
        std::array<char, 16'384> there {};
        std::array<char, 16'384> back {};
    };

    void acceptNext()
    {
        auto& made = m_connections.emplace_back(m_io);
        m_acceptor.async_accept(made.near, [this, &made](boost::system::error_code error) {
            if (!error)
                made.far.connect(m_target, error);
            if (error) {
                made.near.close(error);
            } else {
                passThere(made);
                passBack(made);
            }
            acceptNext();
        });
    }

    void passThere(connection& way)
    {
        way.near.async_read_some(asio::buffer(way.there), [this, &way](boost::system::error_code error, std::size_t bytes) {
            if (m_slow)
                m_held += bytes;
            else if (!error)
                asio::write(way.far, asio::buffer(way.there, bytes), error);
            if (!error)
                passThere(way);
            else
                way.far.shutdown(tcp::socket::shutdown_send, error);
        });
    }

    void passBack(connection& way)
    {
        way.far.async_read_some(asio::buffer(way.back), [this, &way](boost::system::error_code error, std::size_t bytes) {
            if (!error)
                asio::write(way.near, asio::buffer(way.back, bytes), error);
            if (!error)
                passBack(way);
            else
                way.near.shutdown(tcp::socket::shutdown_send, error);
        });
    }

    asio::io_context m_io;
    tcp::endpoint m_target;
    tcp::acceptor m_acceptor;
    std::list<connection> m_connections;
    std::atomic<bool> m_slow { false };
    std::atomic<std::size_t> m_held { 0 };
    std::thread m_thread;
};

// The first id from this number on that the agent owns.
std::string idOwnedBy(const std::string& agent, int number)
{
    for (;; ++number) {
        const rampgap::request_id id { "small", "filings", std::to_string(number) };
        if (rampgap::rendezvousPick(id.text(), { "s1", "s2" }) == agent)
            return id.key;
    }
}

} // namespace

TEST_CASE("a request with an id that crosses its agent's planned stop is neither lost nor run twice")
{
    test_fleet fleet;
    fleet.setRules("[rules]\nid_life_ms = 4000\n");
    for (const std::string name : { "s1", "s2" })
        fleet.addBackend({ name, "lac", "filings", 8, {} });
    fleet.addEntry("e1", "lac");
    slow_way way(fleet.agent("s1").httpPort());
    fleet.setWayTo("s1", way.address());
    fleet.startServing();
    REQUIRE(fleet.waitProven("/filings"));
    test_client caller(fleet.entry("e1").address());
    // From here on the entry VM has a permit and a kept connection.
    REQUIRE(caller.send(onceCall(smallKey, "/filings", idOwnedBy("s1", 0), "x")).status == 200);

    const std::string crossing = idOwnedBy("s1", 1'000);
    way.slowDown();
    test_answer answer;
    std::thread sender([&] { answer = caller.send(onceCall(smallKey, "/filings", crossing, "x")); });
    CHECK(eventually([&] { return way.held() > 0; }));
    fleet.agent("s1").signal(SIGTERM);
    CHECK(fleet.agent("s1").wait() == 0);
    sender.join();
    CHECK_MESSAGE(answer.status == 200, answer.body);
    CHECK(answer.header("Rampgap-Backend") == "s2");
    CHECK(fleet.runsOf("small", crossing) == 1);
}
