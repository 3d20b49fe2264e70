#include "daemon/metrics.h"

#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace rampgap {

namespace {

    constexpr const char* failureName = "rampgap_requests_refused_total";
    constexpr const char* failureHelp = "Requests that ended in a failure, by reason and verdict";

    constexpr const char* answerEndName = "rampgap_unframed_ends_total";
    constexpr const char* answerEndHelp = "Ends of answers with neither a length nor chunks, by the sign that told them from a break";

    constexpr const char* violationName = "rampgap_stream_violations_total";
    constexpr const char* violationHelp = "Runs of streams whose server sent something else, by the rule that it broke";

    constexpr std::array<metric_row, metricCount> rows { {
        { metric::requests_received, "rampgap_requests_received_total", "Requests received from callers or entry VMs", false },
        { metric::requests_answered, "rampgap_requests_answered_total", "Requests answered whole by a backend server", false },
        { metric::requests_lost, "rampgap_requests_lost_total", "Answers cut off after they had begun", false },
        { metric::retries, "rampgap_retries_total", "Further tries of a request on another backend server", false },
        { metric::permits_refused, "rampgap_permits_refused_total", "Requests refused for a stale permit", false },
        { metric::duplicates_answered, "rampgap_duplicates_answered_total", "Repeated ids answered from the stored answer", false },
        { metric::bytes_relayed, "rampgap_bytes_relayed_total", "Bytes of answers passed on", false },
        { metric::revisions_accepted, "rampgap_revisions_accepted_total", "Declarations put in force", false },
        { metric::revisions_refused, "rampgap_revisions_refused_total", "Declarations refused", false },
        { metric::exchanges_sent, "rampgap_exchanges_sent_total", "Configuration exchanges begun with another process", false },
        { metric::exchanges_received, "rampgap_exchanges_received_total", "Configuration exchanges answered", false },
        { metric::exchange_bytes, "rampgap_exchange_bytes_total", "Bytes of messages of configuration exchanges, both ways", false },
        { metric::platform_reads, "rampgap_platform_reads_total", "Reads and watches at the configuration service", false },
        { metric::pauses_detected, "rampgap_pauses_detected_total", "Times that this process found it had been paused", false },
        { metric::map_switches, "rampgap_map_switches_total", "Expert map switches committed", false },
        { metric::revision_in_force, "rampgap_revision_in_force", "Revision of the declaration in force, 0 if none", true },
        { metric::in_flight, "rampgap_requests_in_flight", "Requests being served", true },
        { metric::queued, "rampgap_requests_queued", "Requests waiting for a slot of the backend", true },
        { metric::connections, "rampgap_connections", "Open connections from callers or entry VMs", true },
        { metric::ledger_ids, "rampgap_ledger_ids", "Ids of requests that may run at most once, in memory", true },
        { metric::datagrams_unsent, "rampgap_datagrams_unsent_total", "Datagrams to peers that the kernel refused", false },
        { metric::datagrams_refused, "rampgap_datagrams_refused_total", "Datagrams received that could not be read", false },
        { metric::log_lines_dropped, "rampgap_log_lines_dropped", "Log lines dropped by their budget or a full pipe since the start", true },
        { metric::servers_crashed, "rampgap_servers_crashed_total", "Backend servers found to have crashed while they ran requests from here", false },
        { metric::calls_crashed, "rampgap_calls_crashed_total", "Calls that a backend server was running as it crashed", false },
        { metric::requests_blocked, "rampgap_requests_barred", "Requests that are sent to no server since several crashed under each", true },
        { metric::store_epoch, "rampgap_store_epoch", "Epoch of the users' store in the newest answer: it rises when the store comes back from an older copy", true },
        { metric::store_revision, "rampgap_store_revision", "Revision of the users' store that this process holds", true },
        { metric::store_readings_refused, "rampgap_store_readings_refused_total", "Listings of the users' store that were refused as older than what is held", false },
        { metric::zones_evacuated, "rampgap_zones_evacuated", "Zones that the operators have evacuated: their servers get no new requests", true },
        { metric::requests_refused_early, "rampgap_requests_refused_early_total", "Requests refused as they arrived, since no request slot was expected in time", false },
        { metric::longest_hold, "rampgap_longest_hold_seconds", "Longest time for which the own engine held a step of its group, as far as this agent has seen", true },
        { metric::returns_planned, "rampgap_returns_planned_total", "Refused callers that were told a reserved moment to come back", false },
        { metric::returns_served, "rampgap_returns_served_total", "Callers that came back after a refusal and were served at their first try", false },
        { metric::returns_refused, "rampgap_returns_refused_total", "Callers that came back after a refusal and were refused again", false },
        { metric::experts_copied, "rampgap_experts_copied_total", "Experts that changes of placement begun by this leader had to copy", false },
        { metric::measured_pass, "rampgap_measured_pass_ms", "Mean duration of the passes as measured, of the group with the longest ones", true },
        { metric::token_factor, "rampgap_token_factor", "Measured time that a sequence adds to a pass, divided by the predicted one, of the same group", true },
        { metric::target_running, "rampgap_target_running", "Requests that the engines of the last asked service should run at once", true },
        { metric::task_exceptions, "rampgap_task_exceptions_total", "Pieces of work that an exception ended; the log names them", false },
    } };

    struct latency_row {
        const char* name;
        const char* help;
    };

    constexpr std::array<latency_row, latencyCount> latencyRows { {
        { "rampgap_request_seconds", "Time from a request's arrival to its final answer" },
        { "rampgap_first_byte_seconds", "Time from a request's arrival to the first byte of a server's answer" },
        { "rampgap_group_look_seconds", "Time from a leader's call to all ranks of its group to the last answer" },
    } };

    // In seconds. They include the targets of the users' routes (0.3 and 0.5) and their timeouts (1.5, 4 and 8).
    const prometheus::Histogram::BucketBoundaries latencyBounds { 0.01, 0.025, 0.05, 0.1, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2, 4, 8 };

} // namespace

const std::array<metric_row, metricCount>& metricTable()
{
    return rows;
}

metrics::metrics()
    : m_registry(std::make_shared<prometheus::Registry>())
{
    for (const auto& row : rows) {
        const auto index = static_cast<std::size_t>(row.id);
        if (row.isGauge)
            m_gauges[index] = &prometheus::BuildGauge().Name(row.name).Help(row.help).Register(*m_registry).Add({});
        else
            m_counters[index] = &prometheus::BuildCounter().Name(row.name).Help(row.help).Register(*m_registry).Add({});
    }
}

metrics::~metrics() = default;

// A histogram is created at its first observation, so programs without requests do not export it.
void metrics::observe(latency id, duration elapsed)
{
    const auto index = static_cast<std::size_t>(id);
    if (!m_latencies[index])
        m_latencies[index] = &prometheus::BuildHistogram().Name(latencyRows[index].name).Help(latencyRows[index].help).Register(*m_registry).Add({}, latencyBounds);
    m_latencies[index]->Observe(std::chrono::duration<double>(elapsed).count());
}

void metrics::add(metric id, double amount)
{
    const auto index = static_cast<std::size_t>(id);
    if (m_gauges[index])
        m_gauges[index]->Increment(amount);
    else
        m_counters[index]->Increment(amount);
}

void metrics::set(metric id, double value)
{
    m_gauges[static_cast<std::size_t>(id)]->Set(value);
}

double metrics::value(metric id) const
{
    const auto index = static_cast<std::size_t>(id);
    return m_gauges[index] ? m_gauges[index]->Value() : m_counters[index]->Value();
}

void metrics::countFailure(const failure& failed)
{
    prometheus::Counter*& counter = m_failures[{ failed.ran, failed.reason }];
    if (!counter) {
        auto& family = prometheus::BuildCounter().Name(failureName).Help(failureHelp).Register(*m_registry);
        counter = &family.Add({ { "reason", std::string(toString(failed.reason)) }, { "verdict", std::string(toString(failed.ran)) } });
    }
    counter->Increment();
}

void metrics::countAnswerEnd(answer_end_sign sign)
{
    prometheus::Counter*& counter = m_answerEnds.at(static_cast<std::size_t>(sign));
    if (!counter)
        counter = &prometheus::BuildCounter().Name(answerEndName).Help(answerEndHelp).Register(*m_registry).Add({ { "sign", std::string(toString(sign)) } });
    counter->Increment();
}

void metrics::countViolation(stream_violation violation)
{
    prometheus::Counter*& counter = m_violations.at(static_cast<std::size_t>(violation));
    if (!counter)
        counter = &prometheus::BuildCounter().Name(violationName).Help(violationHelp).Register(*m_registry).Add({ { "rule", std::string(toString(violation)) } });
    counter->Increment();
}

std::string metrics::serialize() const
{
    return prometheus::TextSerializer().Serialize(m_registry->Collect());
}

} // namespace rampgap
