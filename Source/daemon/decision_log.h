// Structured lines on standard output: one for each decision, bounded, never blocking.
#pragma once

#include "policy/verdict.h"

#include <cstdint>
#include <sstream>
#include <string>
#include <string_view>

namespace rampgap {

class decision_log;

// One line as "event=... key=value ..."; handed over when it goes out of scope.
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

// Keeps lines in a buffer that `flush` writes as far as the pipe takes it at once. Lines
// over the budget of a second or over the buffer are dropped and counted.
class decision_log {
public:
    decision_log(std::string process, int descriptor);

    // A line about a change of belief or state: outside the budget for requests.
    log_line line(std::string_view event);
    // A line about one request, within the budget.
    log_line requestLine(std::string_view event);
    void flush();
    std::uint64_t dropped() const { return m_droppedTotal; }

private:
    friend class log_line;

    void take(std::string text);
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
