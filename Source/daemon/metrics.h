// Counters, gauges and histograms of one process, exported in the Prometheus text format.
#pragma once

#include "policy/common/verdict.h"
#include "policy/requests/answer_end.h"
#include "policy/requests/stream_violation.h"

#include <array>
#include <map>
#include <memory>
#include <string>

namespace prometheus {
class Counter;
class Gauge;
class Histogram;
class Registry;
}

namespace rampgap {

// Counters and gauges. Exported names and help texts are in one table in the source.
enum class metric {
    requests_received,
    requests_answered,
    requests_lost,
    retries,
    permits_refused,
    duplicates_answered,
    bytes_relayed,
    revisions_accepted,
    revisions_refused,
    exchanges_sent,
    exchanges_received,
    exchange_bytes,
    platform_reads,
    pauses_detected,
    map_switches,
    revision_in_force,
    in_flight,
    queued,
    connections,
    ledger_ids,
    datagrams_unsent,
    datagrams_refused,
    log_lines_dropped,
    servers_crashed,
    calls_crashed,
    requests_blocked,
    store_epoch,
    store_revision,
    store_readings_refused,
    zones_evacuated,
    requests_refused_early,
    longest_hold,
    returns_planned,
    returns_served,
    returns_refused,
    experts_copied,
    measured_pass,
    token_factor,
    target_running,
    task_exceptions,
};

inline constexpr std::size_t metricCount = 40;

struct metric_row {
    metric id;
    const char* name;
    const char* help;
    bool isGauge;
};

const std::array<metric_row, metricCount>& metricTable();

// Latency histograms. Exported names and help texts are in one table in the source.
enum class latency {
    // From the arrival of a request to its final answer or failure.
    request,
    // From a request's arrival to the first byte of a server's answer.
    first_byte,
    // From a leader's call to all ranks of its group to the last answer.
    group_poll,
};

inline constexpr std::size_t latencyCount = 3;

class metrics {
public:
    metrics();
    ~metrics();

    void add(metric, double amount = 1);
    void set(metric, double value);
    double value(metric) const;
    void observe(latency, duration);
    // Counts a refusal under its reason and verdict.
    void countFailure(const failure&);
    // Counts the end of an answer with neither a length nor chunks under the sign by which it was told from a break.
    void countAnswerEnd(answer_end_sign);
    // Counts a run of a stream that was refuted, under the rule that its server broke.
    void countViolation(stream_violation);
    std::string serialize() const;

private:
    std::shared_ptr<prometheus::Registry> m_registry;
    std::array<prometheus::Counter*, metricCount> m_counters {};
    std::array<prometheus::Gauge*, metricCount> m_gauges {};
    std::array<prometheus::Histogram*, latencyCount> m_latencies {};
    std::map<std::pair<verdict, failure_reason>, prometheus::Counter*> m_failures;
    std::array<prometheus::Counter*, answerEndSignCount> m_answerEnds {};
    std::array<prometheus::Counter*, streamViolationCount> m_violations {};
};

} // namespace rampgap
