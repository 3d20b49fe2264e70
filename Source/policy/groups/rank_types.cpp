#include "policy/groups/rank_types.h"

#include <array>

namespace rampgap {

namespace {

    constexpr std::array<std::string_view, 5> orderNames { "prepare", "hold", "arm", "disarm", "release" };
    constexpr std::array<std::string_view, 6> replyNames { "accepted", "already", "conflict", "fenced", "refused", "unanswered" };

} // namespace

std::string_view toString(map_order_kind kind)
{
    return orderNames[static_cast<std::size_t>(kind)];
}

std::string_view toString(order_reply reply)
{
    return replyNames[static_cast<std::size_t>(reply)];
}

} // namespace rampgap
