// Structured log lines, one per decision: bounded in rate and memory, written without blocking.
#pragma once

#include "policy/common/verdict.h"

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

namespace rampgap {

class decision_log;

// Builds one line "event=... key=value ..."; the destructor appends it to the log.
class log_line {
public:
    log_line(decision_log&, std::string_view event, bool admitted);
    ~log_line();
    log_line(const log_line&) = delete;
    log_line& operator=(const log_line&) = delete;

    log_line& add(std::string_view key, std::string_view value);
    log_line& add(std::string_view key, const char* value) { return add(key, std::string_view(value)); }
    log_line& add(std::string_view key, const std::string& value) { return add(key, std::string_view(value)); }
    // In whole milliseconds.
    log_line& add(std::string_view key, duration value);
    template <class Number>
    requires std::is_arithmetic_v<Number>
        log_line& add(std::string_view key, Number value)
    {
        return m_admitted ? add(key, std::string_view(std::to_string(value))) : *this;
    }

private:
    decision_log& m_log;
    bool m_admitted;
    std::string m_text;
};

// Buffers lines; `flush` writes as much as the pipe accepts without blocking. Lines that exceed
// the budget per second or the buffer are dropped and counted.
class decision_log {
public:
    decision_log(std::string process, int descriptor);

    // A line about a change of state: not limited by the budget of request lines.
    log_line line(std::string_view event);
    // A line about one request: dropped if the budget of this second is used up.
    log_line requestLine(std::string_view event);
    void flush();
    std::uint64_t dropped() const { return m_droppedTotal; }

private:
    friend class log_line;

    void append(std::string text);
    bool admitRequestLine();

    std::string m_process;
    int m_descriptor;
    std::string m_buffer;
    std::uint64_t m_sequence = 0;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedTotal = 0;
    instant m_secondBegan {};
    int m_linesInSecond = 0;
};

} // namespace rampgap
