// Guards against a log that floods its reader, grows in memory without bound, or blocks the process
// when nothing reads the pipe.
#include "daemon/decision_log.h"

#include <doctest/doctest.h>
#include <fcntl.h>
#include <unistd.h>

using namespace rampgap;

namespace {

struct pipe_pair {
    int ends[2] = { -1, -1 };

    pipe_pair() { REQUIRE(::pipe(ends) == 0); }
    ~pipe_pair()
    {
        ::close(ends[0]);
        ::close(ends[1]);
    }

    std::string readSome()
    {
        std::string text(1 << 20, '\0');
        ::fcntl(ends[0], F_SETFL, O_NONBLOCK);
        const auto count = ::read(ends[0], text.data(), text.size());
        text.resize(count > 0 ? static_cast<std::size_t>(count) : 0);
        return text;
    }
};

} // namespace

TEST_CASE("a line names the process, the event and its fields, with quotes where needed")
{
    pipe_pair made;
    decision_log log("vm-1", made.ends[1]);
    log.line("request_failed").add("request", "r1").add("detail", "two words\nand \"more\"").add("tries", 2).add("took_ms", milliseconds(15));
    log.flush();
    const std::string text = made.readSome();
    CHECK(text.find("process=vm-1 n=1 event=request_failed request=r1 detail=\"two words and \\\"more\\\"\" tries=2 took_ms=15\n") != std::string::npos);
}

TEST_CASE("request lines beyond the budget are dropped and counted, other lines are kept")
{
    pipe_pair made;
    decision_log log("vm-1", made.ends[1]);
    for (int i = 0; i < 1'000; ++i)
        log.requestLine("try_ended").add("request", i);
    CHECK(log.dropped() >= 600);
    log.line("reloaded");
    log.flush();
    const std::string text = made.readSome();
    CHECK(text.find("event=reloaded") != std::string::npos);
    CHECK(text.find("event=log_lines_dropped count=") != std::string::npos);
}

TEST_CASE("with a reader that does not read, the buffer is bounded and flush returns")
{
    pipe_pair made;
    decision_log log("vm-1", made.ends[1]);
    for (int i = 0; i < 20'000; ++i) {
        log.line("state").add("text", std::string(100, 'x'));
        if (i % 100 == 0)
            log.flush();
    }
    CHECK(log.dropped() > 0);
}
