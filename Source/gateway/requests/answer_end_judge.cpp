#include "gateway/requests/answer_end_judge.h"

#include "policy/requests/attempt_rules.h"
#include "policy/routing/load_table.h"

namespace rampgap {

namespace {

    // An agent looks at its engine each 100 ms, and then whether anything listens there.
    constexpr milliseconds closingFoundWithin { 150 };

} // namespace

answer_end_judge::answer_end_judge(process_context& context, decision_log& log, group_directory& groups, crash_reporter& crashes)
    : m_context(context)
    , m_log(log)
    , m_groups(groups)
    , m_crashes(crashes)
    , m_pauses(context.now(), std::chrono::system_clock::now())
{
}

awaitable<answer_end_sign> answer_end_judge::judge(ended_answer ended)
{
    const instant endedAt = m_context.now();
    const auto sign = co_await findSign(ended, endedAt);
    auto line = m_log.requestLine("answer_end_judged");
    line.add("request", ended.call.requestId).add("backend", ended.backend.id).add("sign", toString(sign)).add("events", ended.call.events);
    line.add("silence_ms", endedAt - ended.newestBytesAt).add("looked_ms", m_context.now() - endedAt);
    if (const auto age = m_groups.stateAge(ended.service, backendHash(ended.backend.id), m_context.now()))
        line.add("group_news_ms", *age);
    co_return sign;
}

// The ranks of a closed group end the connections of the streams that they cannot finish, also when it opens again.
// A server that finishes an answer ends its connection right after the last bytes. While this process was paused, a
// server may have crashed and been restarted at its address.
awaitable<answer_end_sign> answer_end_judge::findSign(const ended_answer& ended, instant endedAt)
{
    if (ended.isStream && endedAt - ended.newestBytesAt >= longSilence)
        co_return answer_end_sign::silence;
    if (pauses() != ended.pausesBefore)
        co_return answer_end_sign::process_paused;
    if (groupClosed(ended))
        co_return answer_end_sign::group_closed;
    // A stream's events have been sent, so that its end may wait; a plain answer is held until it is known to be whole.
    const auto fate = co_await m_crashes.awaitFate(ended.backend, ended.call, ended.isStream);
    // News of the end of another rank come while a stream's server is looked at.
    if (groupClosed(ended))
        co_return answer_end_sign::group_closed;
    if (fate == server_fate::answers)
        co_return answer_end_sign::server_answers;
    co_return fate == server_fate::ended ? answer_end_sign::server_ended : answer_end_sign::server_silent;
}

// A rank that ends is found by its agent, and the closing counts from there: what ended longer before was whole.
bool answer_end_judge::groupClosed(const ended_answer& ended) const
{
    if (!ended.inGroup)
        return false;
    const std::uint32_t server = backendHash(ended.backend.id);
    const auto closing = m_groups.lastClosing(ended.service, server);
    if (closing && *closing > ended.call.lostAt + closingFoundWithin)
        return false;
    return (closing && *closing >= ended.begunAt) || m_groups.closedAt(ended.service, server, m_context.now());
}

std::uint64_t answer_end_judge::pauses()
{
    m_pauses.check(m_context.now(), std::chrono::system_clock::now());
    return m_pauses.epoch();
}

} // namespace rampgap
