// Reads and checks the options of one INI section; collects every error found.
#pragma once

#include "policy/configuration/ini_document.h"

#include <cstdint>
#include <set>

namespace rampgap {

// The allowed range and the unit of a number; the unit appears in messages.
struct number_range {
    std::int64_t least;
    std::int64_t most;
    std::string_view unit;
};

class section_reader {
public:
    // Adds the errors found to `errors`; all three must outlive the reader.
    section_reader(const ini_document&, const ini_section&, std::vector<input_error>& errors);

    std::string text(std::string_view key, std::string_view fallback);
    std::string requiredText(std::string_view key);
    std::int64_t number(std::string_view key, std::int64_t fallback, number_range);
    double real(std::string_view key, double fallback, double least, double most);
    bool flag(std::string_view key, bool fallback);
    std::vector<std::string> list(std::string_view key);
    // "host:port" by IP number; port 0 asks the kernel for one where `allowZero`.
    std::string address(std::string_view key, std::string_view fallback, bool allowZero);

    // Call last: reports the keys that were not read.
    void rejectUnknown();
    void reject(std::string_view key, std::string problem, std::string fix);

private:
    const ini_entry* readEntry(std::string_view key);

    const ini_document& m_document;
    const ini_section& m_section;
    std::vector<input_error>& m_errors;
    std::set<std::string, std::less<>> m_readKeys;
};

// Splits at commas and drops blanks.
std::vector<std::string> splitList(std::string_view);

} // namespace rampgap
