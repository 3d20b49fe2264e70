// Tells the end of an answer with neither a length nor chunks from a break, where its connection ends either way.
#pragma once

#include "gateway/requests/crash_reporter.h"
#include "policy/groups/group_directory.h"
#include "policy/membership/pause_detector.h"
#include "policy/requests/answer_end.h"

namespace rampgap {

// An answer whose connection has ended in order.
struct ended_answer {
    std::string service;
    listed_backend backend;
    lost_call call;
    bool isStream = false;
    // The server is a rank of a group, which stops as a whole.
    bool inGroup = false;
    instant begunAt {};
    // When the last bytes were read.
    instant newestBytesAt {};
    // `answer_end_judge::pauses()` as the answer began.
    std::uint64_t pausesBefore = 0;
};

class answer_end_judge {
public:
    answer_end_judge(process_context&, decision_log&, group_directory&, crash_reporter&);

    // By which sign the answer counts as whole or as broken off. If its server has crashed, the call counts as lost.
    awaitable<answer_end_sign> judge(ended_answer);
    // How often this process was paused so far; to be called often, since a pause is seen as a gap between two calls.
    std::uint64_t pauses();

private:
    awaitable<answer_end_sign> findSign(const ended_answer&, instant endedAt);
    // Whether the server's group is known to have closed during the answer, or just after its end.
    bool groupClosed(const ended_answer&) const;

    process_context& m_context;
    decision_log& m_log;
    group_directory& m_groups;
    crash_reporter& m_crashes;
    pause_detector m_pauses;
};

} // namespace rampgap
