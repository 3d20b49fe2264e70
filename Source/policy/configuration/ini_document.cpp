#include "policy/configuration/ini_document.h"

#include <boost/algorithm/string/trim.hpp>
#include <sstream>

namespace rampgap {

namespace {

    // Boost.PropertyTree parses INI as well, but drops empty sections and line numbers,
    // and every error message must name its line.
    class ini_parser {
    public:
        explicit ini_parser(std::string file)
            : m_file(std::move(file))
        {
        }

        void parseLine(std::string line, int number)
        {
            boost::algorithm::trim(line);
            if (line.empty() || line[0] == ';' || line[0] == '#')
                return;
            if (line[0] == '[')
                parseSection(line, number);
            else
                parseEntry(line, number);
        }

        std::vector<ini_section> sections;
        std::vector<input_error> errors;

    private:
        void parseSection(const std::string& line, int number)
        {
            if (line.back() != ']')
                return addError(number, line, "section without ]", "write [section]");
            std::string name = line.substr(1, line.size() - 2);
            boost::algorithm::trim(name);
            if (name.empty())
                return addError(number, line, "section without a name", "write [section]");
            for (const auto& known : sections) {
                if (known.name == name)
                    addError(number, line, "section appears twice, first in line " + std::to_string(known.line), "merge the two");
            }
            sections.push_back({ name, number, {} });
        }

        void parseEntry(const std::string& line, int number)
        {
            const auto equals = line.find('=');
            if (equals == std::string::npos)
                return addError(number, line, "neither a section nor key = value", "write key = value");
            std::string key = line.substr(0, equals);
            std::string value = line.substr(equals + 1);
            boost::algorithm::trim(key);
            boost::algorithm::trim(value);
            if (key.empty())
                return addError(number, line, "no key before =", "write key = value");
            if (sections.empty())
                return addError(number, key, "key before the first section", "move it below a [section] line");
            if (sections.back().find(key))
                return addError(number, key, "key appears twice in [" + sections.back().name + "]", "remove one of them");
            sections.back().entries.push_back({ std::move(key), std::move(value), number });
        }

        void addError(int number, const std::string& key, std::string problem, std::string fix)
        {
            errors.push_back({ m_file, number, key, std::move(problem), std::move(fix) });
        }

        std::string m_file;
    };

} // namespace

std::string toString(const input_error& error)
{
    std::string text = error.file;
    if (error.line > 0)
        text += ":" + std::to_string(error.line);
    if (!error.key.empty())
        text += ": " + error.key;
    text += ": " + error.problem;
    if (!error.fix.empty())
        text += "; " + error.fix;
    return text;
}

std::string toString(const std::vector<input_error>& errors)
{
    std::string text;
    for (const auto& error : errors)
        text += (text.empty() ? "" : "\n") + toString(error);
    return text;
}

const ini_entry* ini_section::find(std::string_view key) const
{
    for (const auto& entry : entries) {
        if (entry.key == key)
            return &entry;
    }
    return nullptr;
}

ini_document::parse_result ini_document::parse(std::string_view text, std::string file)
{
    ini_parser parser(file);
    std::istringstream stream { std::string(text) };
    std::string line;
    for (int number = 1; std::getline(stream, line); ++number)
        parser.parseLine(line, number);
    if (!parser.errors.empty())
        return std::move(parser.errors);
    ini_document document;
    document.m_file = std::move(file);
    document.m_sections = std::move(parser.sections);
    return document;
}

const ini_section* ini_document::find(std::string_view name) const
{
    for (const auto& section : m_sections) {
        if (section.name == name)
            return &section;
    }
    return nullptr;
}

} // namespace rampgap
