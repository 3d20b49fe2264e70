// Guards against words of the platform that nobody reads: each name in the adapter has a line on the page of words.
#include <doctest/doctest.h>
#include <fstream>
#include <regex>
#include <set>
#include <sstream>
#include <string>

namespace {

std::string contents(const std::string& path)
{
    std::ifstream file(std::string(RAMPGAP_SOURCE) + "/" + path);
    REQUIRE(file);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// The first group of each match.
std::set<std::string> allMatches(const std::string& text, const char* pattern)
{
    const std::regex expression(pattern);
    std::set<std::string> found;
    for (auto match = std::sregex_iterator(text.begin(), text.end(), expression); match != std::sregex_iterator(); ++match)
        found.insert((*match)[1]);
    return found;
}

} // namespace

TEST_CASE("each header, path and key that the adapter names, and each member that it decodes, is on the page of words")
{
    const std::string page = contents("docs/reference/platform-words.md");
    auto words = allMatches(contents("platform/wire_names.h"), R"re(constexpr const char\* (?!settings)\w+ = "([^"]+)")re");
    words.merge(allMatches(contents("platform/item_decoder.cpp"), R"re((?:text|number|durationFromMs|flag|wholeNumber|nonEmptyText)\([a-zA-Z_>.()-]*object[a-zA-Z_()]*, "([a-z_]+)")re"));
    REQUIRE(words.size() > 40);
    for (const auto& word : words) {
        CAPTURE(word);
        CHECK(page.find(word) != std::string::npos);
    }
}
