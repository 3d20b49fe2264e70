// How the answer of a server ended, and by which sign that was told from a break.
#pragma once

#include <cstddef>
#include <string_view>

namespace rampgap {

// What tells the end of an answer without length or chunks from a break: its connection ends either way.
enum class answer_end_sign {
    // Not read to its end.
    none,
    // The answer has a length or chunks, so that it says itself where it ends.
    framed,
    // The server still answered after the end: the answer is whole.
    server_answers,
    // The signs below tell a break.
    inside_event,
    no_event,
    silence,
    process_paused,
    group_closed,
    server_ended,
    server_silent,
};

inline constexpr std::size_t answerEndSignCount = 10;

// As in logs and metrics.
std::string_view toString(answer_end_sign);
// Whether the answer counts as whole.
bool isWhole(answer_end_sign);

} // namespace rampgap
