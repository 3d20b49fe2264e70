// Structured log lines on standard error; for changes of state only.
#pragma once

#include <string>
#include <string_view>

namespace rampgap {

// Call once before the first line. Lines name the process.
void initLogging(const std::string& process);

// One change of state, as "event=... key=value ..." text.
void logState(std::string_view event, std::string_view detail);
void logProblem(std::string_view event, std::string_view detail);

} // namespace rampgap
