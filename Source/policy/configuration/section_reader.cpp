#include "policy/configuration/section_reader.h"

#include <boost/algorithm/string/classification.hpp>
#include <boost/algorithm/string/split.hpp>
#include <boost/algorithm/string/trim.hpp>
#include <boost/asio/ip/address.hpp>
#include <charconv>

namespace rampgap {

namespace {

    constexpr int maxPort = 65535;

    template <class Number>
    bool parseNumber(std::string_view text, Number& value)
    {
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), value);
        return error == std::errc() && end == text.data() + text.size();
    }

} // namespace

std::vector<std::string> splitList(std::string_view text)
{
    std::vector<std::string> parts;
    boost::algorithm::split(parts, text, boost::algorithm::is_any_of(","));
    std::vector<std::string> names;
    for (auto& part : parts) {
        boost::algorithm::trim(part);
        if (!part.empty())
            names.push_back(std::move(part));
    }
    return names;
}

section_reader::section_reader(const ini_document& document, const ini_section& section, std::vector<input_error>& errors)
    : m_document(document)
    , m_section(section)
    , m_errors(errors)
{
}

const ini_entry* section_reader::readEntry(std::string_view key)
{
    m_readKeys.emplace(key);
    return m_section.find(key);
}

void section_reader::reject(std::string_view key, std::string problem, std::string fix)
{
    const ini_entry* entry = m_section.find(key);
    const int line = entry ? entry->line : m_section.line;
    m_errors.push_back({ m_document.file(), line, "[" + m_section.name + "] " + std::string(key), std::move(problem), std::move(fix) });
}

std::string section_reader::text(std::string_view key, std::string_view fallback)
{
    const ini_entry* entry = readEntry(key);
    return entry ? entry->value : std::string(fallback);
}

std::string section_reader::requiredText(std::string_view key)
{
    const ini_entry* entry = readEntry(key);
    if (!entry || entry->value.empty()) {
        reject(key, "missing", "add " + std::string(key) + " = ...");
        return {};
    }
    return entry->value;
}

std::int64_t section_reader::number(std::string_view key, std::int64_t fallback, number_range range)
{
    const ini_entry* entry = readEntry(key);
    if (!entry)
        return fallback;
    std::int64_t value = 0;
    if (!parseNumber(entry->value, value) || value < range.least || value > range.most) {
        const std::string bounds = std::to_string(range.least) + " to " + std::to_string(range.most);
        reject(key, "'" + entry->value + "' is not a whole number of " + std::string(range.unit) + " from " + bounds, "write a number in that range");
        return fallback;
    }
    return value;
}

double section_reader::real(std::string_view key, double fallback, double least, double most)
{
    const ini_entry* entry = readEntry(key);
    if (!entry)
        return fallback;
    double value = 0;
    if (!parseNumber(entry->value, value) || !(value >= least && value <= most)) {
        reject(key, "'" + entry->value + "' is not a number from " + std::to_string(least) + " to " + std::to_string(most), "write a number in that range");
        return fallback;
    }
    return value;
}

bool section_reader::flag(std::string_view key, bool fallback)
{
    const ini_entry* entry = readEntry(key);
    if (!entry)
        return fallback;
    if (entry->value == "yes")
        return true;
    if (entry->value != "no")
        reject(key, "'" + entry->value + "' is neither yes nor no", "write yes or no");
    return false;
}

std::vector<std::string> section_reader::list(std::string_view key)
{
    const ini_entry* entry = readEntry(key);
    return entry ? splitList(entry->value) : std::vector<std::string> {};
}

std::string section_reader::address(std::string_view key, std::string_view fallback, bool allowZero)
{
    const ini_entry* entry = readEntry(key);
    std::string value = entry ? entry->value : std::string(fallback);
    const auto colon = value.rfind(':');
    boost::system::error_code error;
    int port = -1;
    if (colon != std::string::npos) {
        boost::asio::ip::make_address(value.substr(0, colon), error);
        if (!parseNumber(std::string_view(value).substr(colon + 1), port))
            port = -1;
    }
    const bool portFits = port >= (allowZero ? 0 : 1) && port <= maxPort;
    if (colon == std::string::npos || error || !portFits)
        reject(key, "'" + value + "' is not an IP number and port", "write it as 10.0.0.1:8080");
    return value;
}

void section_reader::rejectUnknown()
{
    for (const auto& entry : m_section.entries) {
        if (!m_readKeys.contains(entry.key))
            reject(entry.key, "unknown key", "remove it or see docs/reference/");
    }
}

} // namespace rampgap
