#include "policy/requests/event_stream_parser.h"

#include <algorithm>
#include <utility>

namespace rampgap {

namespace {

    constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

    // Each byte of all streams comes by here: twice as fast as a search for either of two characters.
    std::size_t findLineEnd(std::string_view bytes)
    {
        const auto newline = bytes.find('\n');
        const auto feed = bytes.substr(0, newline).find('\r');
        return std::min(newline, feed);
    }

} // namespace

// An event that ends with CR is passed on at once: the LF that may follow adds nothing to it, and is passed on by itself.
std::vector<stream_event> event_stream_parser::push(std::string_view bytes)
{
    std::vector<stream_event> events;
    while (!bytes.empty()) {
        if (std::exchange(m_afterReturn, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            if (m_event.bytes.empty()) {
                events.push_back({ "\n", std::nullopt, false });
            } else {
                m_event.bytes.push_back('\n');
                m_lineBegin = m_event.bytes.size();
            }
            continue;
        }
        const auto end = findLineEnd(bytes);
        if (end == std::string_view::npos) {
            m_event.bytes.append(bytes);
            return events;
        }
        const bool isReturn = bytes[end] == '\r';
        const bool isPair = isReturn && end + 1 < bytes.size() && bytes[end + 1] == '\n';
        m_afterReturn = isReturn && end + 1 == bytes.size();
        m_event.bytes.append(bytes.substr(0, end));
        const std::size_t lineSize = m_event.bytes.size() - m_lineBegin;
        if (lineSize > 0)
            readLine(std::string_view(m_event.bytes).substr(m_lineBegin, lineSize));
        m_event.bytes.append(bytes.substr(end, isPair ? 2 : 1));
        bytes.remove_prefix(end + (isPair ? 2 : 1));
        m_lineBegin = m_event.bytes.size();
        if (lineSize == 0) {
            events.push_back(std::exchange(m_event, {}));
            m_lineBegin = 0;
        }
        m_firstLine = false;
    }
    return events;
}

void event_stream_parser::readLine(std::string_view line)
{
    if (m_firstLine && line.starts_with(byteOrderMark))
        line.remove_prefix(byteOrderMark.size());
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "data")
        m_event.hasData = true;
    else if (name == "id" && value.find('\0') == std::string_view::npos)
        m_event.id = std::string(value);
}

std::string event_stream_parser::takeRest()
{
    m_lineBegin = 0;
    return std::exchange(m_event, {}).bytes;
}

} // namespace rampgap
