// Structured log lines on standard error; for changes of state only.
#pragma once

#include <string>
#include <string_view>

namespace rampgap {

// To be called once, before the first line is logged. Each line contains the process's name.
void initLogging(const std::string& process);

// Logs an event with its details, as "event=... key=value ...". logWarning logs at warning level.
void logStateChange(std::string_view event, std::string_view detail);
void logWarning(std::string_view event, std::string_view detail);

} // namespace rampgap
