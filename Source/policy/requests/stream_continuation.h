// Checks that a resumed run continues right after the last event that the caller has.
#pragma once

#include "policy/requests/event_stream_parser.h"

#include <cstdint>
#include <optional>
#include <string>

namespace rampgap {

enum class continuation_verdict {
    send,
    // The caller has it already.
    drop,
    // The run leaves events out.
    gap,
    // It repeats more than it may.
    too_many_repeated,
};

// True if a server can be asked to go on after an event with this id: it fits into a header.
bool mayNameEvent(const std::string& id);

class stream_continuation {
public:
    // `lastId`: of the last event that the caller has; empty: the run begins the stream. `usualStep`: what the service's ids
    // rise by, if that is known: without it no gap is found.
    stream_continuation(std::string lastId, std::optional<std::uint64_t> usualStep);

    // To be asked of each event of the run, in order.
    continuation_verdict check(const stream_event&);
    // How many events the caller had already.
    std::size_t repeated() const { return m_repeated; }

private:
    continuation_verdict repeat(const stream_event&);

    std::string m_lastId;
    std::optional<std::uint64_t> m_last;
    std::optional<std::uint64_t> m_usualStep;
    // An event that the caller does not have has come.
    bool m_goesOn = false;
    // The last event with an id was one before the caller's last.
    bool m_beforeLast = false;
    std::size_t m_repeated = 0;
    std::size_t m_repeatedBytes = 0;
};

} // namespace rampgap
