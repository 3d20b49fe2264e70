// Fault: an engine or an agent dies in the middle of a stream.

#include "harness/test_fleet.h"

#include <atomic>
#include <boost/asio/write.hpp>
#include <doctest/doctest.h>
#include <thread>

using namespace rampgap::test;
namespace asio = boost::asio;

TEST_CASE("a cut stream is resumed on another engine without a missing or doubled token")
{
    constexpr int tokens = 60;
    test_fleet fleet;
    // Each request needs a retry here.
    fleet.setRules("[rules]\nretry_percent = 100\n");
    fleet.addBackend({ "a1", "lac", "assistant", 8, {} });
    fleet.addBackend({ "a2", "lac", "assistant", 8, {} });
    fleet.addEntry("e1", "lac");
    fleet.startServing();
    test_client client(fleet.entry("e1").address());

    SUBCASE("the engine breaks its stream")
    {
        post(fleet.engine("a1").address(), "/standin/faults?break_after=7");
        for (int i = 0; i < 10; ++i) {
            const std::string prompt = "resume " + std::to_string(i);
            const auto answer = client.send(completion(smallKey, "assistant", prompt, tokens, true));
            CHECK(answer.status == 200);
            CHECK(answeredText(answer) == expectedText(prompt, tokens));
        }
    }
    SUBCASE("the agent is killed")
    {
        const std::string prompt = "killed";
        test_answer answer;
        auto request = completion(smallKey, "assistant", prompt, 300, true);
        std::thread caller([&] { answer = client.send(request); });
        std::string busy;
        REQUIRE(eventually([&] {
            for (const auto& name : fleet.agentNames()) {
                if (get(fleet.engine(name).address(), "/standin/runs").body.find("\"in_batch\":1") != std::string::npos)
                    busy = name;
            }
            return !busy.empty();
        }));
        fleet.agent(busy).kill();
        caller.join();
        CHECK(answer.status == 200);
        CHECK(answeredText(answer) == expectedText(prompt, 300));
    }
}

namespace {

// An engine of the own interface whose streams have neither a length nor chunks. Each ends with its connection after two of three
// events; with the first one the engine ends as well, if it is told to.
class unframed_engine {
public:
    explicit unframed_engine(bool ends)
        : m_acceptor(m_io, { asio::ip::address_v4::loopback(), 0 })
        , m_ends(ends)
        , m_thread([this] { serve(); })
    {
    }
    ~unframed_engine()
    {
        m_stopped = true;
        boost::system::error_code ignored;
        // Wakes the thread as it accepts.
        asio::ip::tcp::socket last(m_io);
        last.connect({ asio::ip::address_v4::loopback(), m_port }, ignored);
        last.close(ignored);
        m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_port); }

private:
    void serve()
    {
        while (!m_stopped) {
            asio::ip::tcp::socket socket(m_io);
            boost::system::error_code error;
            m_acceptor.accept(socket, error);
            std::string request(4'096, '\0');
            const std::size_t size = socket.read_some(asio::buffer(request), error);
            if (!request.substr(0, size).starts_with("POST")) {
                asio::write(socket, asio::buffer(std::string("HTTP/1.1 204 No Content\r\nConnection: close\r\n\r\n")), error);
                continue;
            }
            asio::write(socket, asio::buffer(std::string("HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\ndata: a\n\ndata: b\n\n")), error);
            if (m_ends) {
                m_acceptor.close(error);
                return;
            }
        }
    }

    asio::io_context m_io;
    asio::ip::tcp::acceptor m_acceptor;
    unsigned short m_port = m_acceptor.local_endpoint().port();
    bool m_ends;
    std::atomic<bool> m_stopped = false;
    std::thread m_thread;
};

test_answer askOnce(bool engineEnds)
{
    unframed_engine engine(engineEnds);
    test_fleet fleet;
    fleet.addBackend({ "a1", "lac", "assistant", 8, {}, engine.address() });
    fleet.addEntry("e1", "lac");
    fleet.startServing();
    return test_client(fleet.entry("e1").address()).send(completion(smallKey, "assistant", "unframed", 3, true));
}

} // namespace

TEST_CASE("a stream without length or chunks whose engine ends with it is not passed on as complete")
{
    CHECK(askOnce(true).status == 0);
    const auto whole = askOnce(false);
    CHECK(whole.status == 200);
    CHECK(whole.body == "data: a\n\ndata: b\n\n");
}
