// INI text with the line of each key, so that error messages can point to it.
#pragma once

#include <boost/outcome.hpp>
#include <string>
#include <string_view>
#include <vector>

namespace rampgap {

// One error in a settings file or declaration and how to fix it.
struct input_error {
    std::string file;
    int line = 0;
    std::string key;
    std::string problem;
    std::string fix;

    bool operator==(const input_error&) const = default;
};

// "file:line: key: problem; fix".
std::string toString(const input_error&);
std::string toString(const std::vector<input_error>&);

struct ini_entry {
    std::string key;
    std::string value;
    int line = 0;

    bool operator==(const ini_entry&) const = default;
};

struct ini_section {
    std::string name;
    int line = 0;
    std::vector<ini_entry> entries;

    const ini_entry* find(std::string_view key) const;
    bool operator==(const ini_section&) const = default;
};

// A parsed file; sections and keys keep their order.
class ini_document {
public:
    using parse_result = boost::outcome_v2::checked<ini_document, std::vector<input_error>>;

    static parse_result parse(std::string_view text, std::string file);

    const std::string& file() const { return m_file; }
    const std::vector<ini_section>& sections() const { return m_sections; }
    const ini_section* find(std::string_view section) const;
    bool operator==(const ini_document&) const = default;

private:
    std::string m_file;
    std::vector<ini_section> m_sections;
};

} // namespace rampgap
