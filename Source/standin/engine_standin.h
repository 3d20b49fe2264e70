// Fake of a model engine or a plain service: continuous batching with a step time.
#pragma once

#include "daemon/boot_timer.h"
#include "daemon/http_server.h"
#include "standin/standin_flags.h"

#include <list>
#include <map>

namespace rampgap::standin {

// The token at `index` of the answer to `prompt`: callers can check that an answer is theirs.
std::string tokenAt(const std::string& prompt, std::uint64_t index);

class engine_standin : public http_handler {
public:
    engine_standin(process_context&, const standin_flags&);

    void start();
    awaitable<void> handle(http_exchange&) override;

private:
    // One request in the batch; `signal` wakes it after each step.
    struct sequence {
        explicit sequence(boost::asio::io_context& io)
            : signal(io, instant::max())
        {
        }
        boot_timer signal;
        bool inBatch = false;
        int stepsToFirst = 0;
        std::uint64_t steps = 0;
    };

    awaitable<void> stepLoop();
    awaitable<void> complete(http_exchange&);
    awaitable<void> callService(http_exchange&);
    awaitable<void> nextStep(sequence&);
    bool notePrefix(const std::string& prompt);
    http_response setFaults(const std::string& target);
    http_response runs() const;
    // What it says of itself in every answer.
    void addNotice(http::fields&) const;
    void countRun(const http_request&);

    process_context& m_context;
    standin_flags m_flags;
    std::list<std::shared_ptr<sequence>> m_sequences;
    std::list<std::string> m_prefixes;
    // How often each Idempotency-Key has run.
    std::map<std::string, int> m_runs;
    std::uint64_t m_totalRuns = 0;
    std::uint64_t m_cancelled = 0;
    double m_slowFactor = 1;
    int m_stallMs = 0;
    // Streams break after this many tokens; negative: never.
    int m_breakAfter = -1;
    bool m_refuse = false;
    // Requests a second that it names as its limit; empty: it names none.
    std::string m_limit;
    // Seconds for which it asks to back off as it turns each request away; empty: it takes them.
    std::string m_backoff;
    // How often it did.
    std::uint64_t m_turnedAway = 0;
    bool m_leaving = false;
    // The process ends when it begins to answer a prompt that holds this; empty: never.
    std::string m_crashOn;
};

} // namespace rampgap::standin
