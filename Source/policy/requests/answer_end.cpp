#include "policy/requests/answer_end.h"

#include <array>

namespace rampgap {

namespace {

    constexpr std::array<std::string_view, answerEndSignCount> names { "none", "framed", "server_answers", "inside_event", "no_event", "silence", "process_paused", "group_closed", "server_ended", "server_silent" };

} // namespace

std::string_view toString(answer_end_sign sign)
{
    return names.at(static_cast<std::size_t>(sign));
}

bool isWhole(answer_end_sign sign)
{
    return sign == answer_end_sign::framed || sign == answer_end_sign::server_answers;
}

} // namespace rampgap
