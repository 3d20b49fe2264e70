// What the operating system says of another process.
#pragma once

#include <fstream>
#include <string>
#include <unistd.h>

namespace rampgap::bench {

// Resident memory in megabytes.
inline double residentMb(pid_t process)
{
    std::ifstream status("/proc/" + std::to_string(process) + "/status");
    for (std::string line; std::getline(status, line);) {
        if (line.starts_with("VmRSS:"))
            return std::stod(line.substr(6)) / 1024;
    }
    return 0;
}

// Processor seconds used so far, user and system.
inline double processorSeconds(pid_t process)
{
    std::ifstream stat("/proc/" + std::to_string(process) + "/stat");
    std::string text((std::istreambuf_iterator<char>(stat)), std::istreambuf_iterator<char>());
    text.erase(0, text.rfind(')') + 2);
    constexpr int fieldsBeforeUser = 11;
    std::size_t at = 0;
    for (int i = 0; i < fieldsBeforeUser; ++i)
        at = text.find(' ', at) + 1;
    const double user = std::stod(text.substr(at));
    at = text.find(' ', at) + 1;
    return (user + std::stod(text.substr(at))) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

} // namespace rampgap::bench
