// State shared by all parts of a process: identity, clocks, metrics and timeline.
#pragma once

#include "daemon/metrics.h"
#include "policy/common/timeline.h"
#include "policy/common/verdict.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <string_view>

namespace rampgap {

class process_context {
public:
    process_context(std::string name, std::string zone, std::string role);
    ~process_context() { *m_running = false; }
    process_context(const process_context&) = delete;
    process_context& operator=(const process_context&) = delete;

    boost::asio::io_context& io() { return m_io; }
    const std::string& name() const { return m_name; }
    const std::string& zone() const { return m_zone; }
    const std::string& role() const { return m_role; }
    // Increases with each start of the process: its start time, in nanoseconds of the wall clock.
    std::uint64_t incarnation() const { return m_incarnation; }
    instant now() const { return boot_clock::now(); }
    instant startedAt() const { return m_startedAt; }
    // False once this object is being destroyed.
    std::shared_ptr<const bool> running() const { return m_running; }

    metrics& counters() { return m_metrics; }
    event_ring& timeline() { return m_timeline; }
    std::mt19937_64& random() { return m_random; }

    void recordEvent(event_kind, std::string correlation, std::string detail);

    // Counts and logs an exception that ended the work `task`.
    void reportException(std::string_view task, std::string_view reason);
    // Sets how such exceptions are logged, by default on standard error.
    void onException(std::function<void(std::string_view task, std::string_view reason)> action) { m_onException = std::move(action); }

    // Fault injection for tests: calls to these addresses fail, as if the network were cut.
    void cut(std::set<std::string> addresses) { m_cut = std::move(addresses); }
    bool isCut(const std::string& address) const { return m_cut.contains(address); }

private:
    boost::asio::io_context m_io { 1 };
    std::string m_name;
    std::string m_zone;
    std::string m_role;
    std::uint64_t m_incarnation;
    instant m_startedAt;
    std::shared_ptr<bool> m_running = std::make_shared<bool>(true);
    metrics m_metrics;
    event_ring m_timeline;
    std::mt19937_64 m_random;
    std::set<std::string> m_cut;
    std::function<void(std::string_view, std::string_view)> m_onException;
};

} // namespace rampgap
