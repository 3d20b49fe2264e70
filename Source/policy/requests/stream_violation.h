// What shows that a server's bytes are not an event of the stream that it is sending.
#pragma once

#include <cstddef>
#include <string>
#include <string_view>

namespace rampgap {

enum class stream_violation {
    none,
    // A line is neither a field nor a comment.
    no_field,
    // A block with fields that the standard does not know, and nothing else.
    no_event,
    // An event without an id in a stream whose events have one.
    no_id,
    empty_id,
    // An id that is no number where all are.
    no_number,
    // An id that is not above the one before.
    not_rising,
    // An id far above the one before, and a lower one after it.
    far_id,
    // A run that goes on with a stream leaves events out.
    gap,
    // It repeats more than it may.
    repeats,
    // The answer ends inside an event, though it says itself where it ends.
    unfinished,
};

inline constexpr std::size_t streamViolationCount = 11;

// Enough to recognise what a server sent, and too little of an answer to be read in a log.
inline constexpr std::size_t maxExcerptBytes = 32;

// As in logs and metrics.
std::string_view toString(stream_violation);

// For the log: the start of the bytes, those that are not printable escaped.
std::string excerptOf(std::string_view bytes);

} // namespace rampgap
