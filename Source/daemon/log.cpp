#include "daemon/log.h"

#include <easylogging++.h>

INITIALIZE_EASYLOGGINGPP

namespace rampgap {

namespace {

    std::string processName;

} // namespace

void initLogging(const std::string& process)
{
    processName = process;
    // VMs have no disks: the library's default log file is switched off.
    el::Configurations configuration;
    configuration.setToDefault();
    configuration.setGlobally(el::ConfigurationType::ToFile, "false");
    configuration.setGlobally(el::ConfigurationType::ToStandardOutput, "true");
    configuration.setGlobally(el::ConfigurationType::Format, "time=%datetime{%Y-%M-%dT%H:%m:%s.%g} level=%level %msg");
    el::Loggers::setDefaultConfigurations(configuration, true);
    el::Loggers::reconfigureAllLoggers(configuration);
}

void logStateChange(std::string_view event, std::string_view detail)
{
    LOG(INFO) << "process=" << processName << " event=" << event << " " << detail;
}

void logWarning(std::string_view event, std::string_view detail)
{
    LOG(WARNING) << "process=" << processName << " event=" << event << " " << detail;
}

} // namespace rampgap
