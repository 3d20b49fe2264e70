// Structured log lines on standard error; for changes of state only.
#pragma once

#include <string>
#include <string_view>

namespace rampgap {

// To be called once, before the first line is logged. Each line contains the process's name.
void initLogging(const std::string& process);

// Logs an event with its details, as "event=... key=value ...". logProblem logs at warning level.
void logState(std::string_view event, std::string_view detail);
void logProblem(std::string_view event, std::string_view detail);

} // namespace rampgap
