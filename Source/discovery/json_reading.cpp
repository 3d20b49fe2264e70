#include "discovery/json_reading.h"

namespace rampgap {

std::string textIn(const boost::json::object& object, const char* name)
{
    const boost::json::value* value = object.if_contains(name);
    return value && value->is_string() ? std::string(value->get_string()) : std::string();
}

std::uint64_t numberIn(const boost::json::object& object, const char* name, std::uint64_t fallback)
{
    const boost::json::value* value = object.if_contains(name);
    boost::system::error_code error;
    const auto number = value && value->is_number() ? value->to_number<std::uint64_t>(error) : fallback;
    return error ? fallback : number;
}

bool flagIn(const boost::json::object& object, const char* name)
{
    const boost::json::value* value = object.if_contains(name);
    return value && value->is_bool() && value->get_bool();
}

} // namespace rampgap
