// Functions that read members of JSON objects; they return a default if a member is absent or has another type.
#pragma once

#include <boost/json.hpp>
#include <cstdint>
#include <string>

namespace rampgap {

std::string textIn(const boost::json::object&, const char* name);
std::uint64_t numberIn(const boost::json::object&, const char* name, std::uint64_t fallback = 0);
bool flagIn(const boost::json::object&, const char* name);

} // namespace rampgap
