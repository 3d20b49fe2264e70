#include "gateway/requests/stream_report.h"

namespace rampgap {

namespace {

    // Ids of events are a server's: longer ones are cut in the log.
    constexpr std::size_t maxLoggedId = 32;

    std::string_view loggedId(const std::string& id)
    {
        return std::string_view(id).substr(0, maxLoggedId);
    }

    // "BACKEND:FRAMING[+REPEATED EVENTS]:FIRST..LAST:SIGN"
    std::string describeRun(const std::string& backend, const relayed_run& run)
    {
        std::string text = backend + ":";
        text.append(run.framing).append(run.repeated > 0 ? "+" + std::to_string(run.repeated) : "").append(":").append(loggedId(run.firstId)).append("..").append(loggedId(run.lastId)).append(":");
        return text.append(toString(run.sign));
    }

} // namespace

void addRun(log_line& line, const relayed_run& run)
{
    if (run.framing == "-")
        return;
    line.add("framing", run.framing).add("run_events", run.events).add("first_id", loggedId(run.firstId)).add("last_id", loggedId(run.lastId)).add("end_sign", toString(run.sign));
}

void logViolation(decision_log& log, const gateway_request& request, const std::string& backend, const std::string& address, const relayed_run& run, duration took)
{
    const violation_report& found = *run.violation;
    auto line = log.requestLine("stream_violation");
    line.add("request", request.id).add("backend", backend).add("address", address).add("rule", toString(found.violation)).add("framing", run.framing);
    line.add("run_events", run.events).add("after_id", loggedId(found.previousId)).add("id", loggedId(found.id)).add("bytes", found.excerpt).add("took_ms", took);
}

void logStreamEnd(decision_log& log, const gateway_request& request, const std::vector<stream_run>& runs, std::string_view outcome)
{
    const bool isPlainSuccess = runs.empty() || (runs.size() == 1 && outcome == "complete" && runs.front().relayed.sign == answer_end_sign::framed);
    if (isPlainSuccess)
        return;
    std::string joined;
    std::uint64_t events = 0;
    for (const auto& run : runs) {
        joined += (joined.empty() ? "" : ",") + describeRun(run.backend, run.relayed);
        events += run.relayed.events;
    }
    log.requestLine("stream_ended").add("request", request.id).add("after", loggedId(request.lastEventId)).add("runs", joined).add("events", events).add("outcome", outcome);
}

} // namespace rampgap
