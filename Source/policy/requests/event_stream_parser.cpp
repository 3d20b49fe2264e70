#include "policy/requests/event_stream_parser.h"

#include <algorithm>
#include <utility>

namespace rampgap {

namespace {

    // Longer ones are no names that a protocol gives to a field.
    constexpr std::size_t maxFieldName = 64;

    // Each byte of all streams comes by here: twice as fast as a search for either of two characters.
    std::size_t findLineEnd(std::string_view bytes)
    {
        const auto newline = bytes.find('\n');
        const auto feed = bytes.substr(0, newline).find('\r');
        return std::min(newline, feed);
    }

    bool isNameByte(unsigned char byte)
    {
        return (byte >= 'a' && byte <= 'z') || (byte >= 'A' && byte <= 'Z') || (byte >= '0' && byte <= '9') || byte == '-' || byte == '_';
    }

    bool mayBeFieldName(std::string_view name)
    {
        return !name.empty() && name.size() <= maxFieldName && std::all_of(name.begin(), name.end(), isNameByte);
    }

    bool isStandardField(std::string_view name)
    {
        return name == "data" || name == "id" || name == "event" || name == "retry";
    }

} // namespace

std::string_view findForeignLine(std::string_view eventBytes)
{
    if (eventBytes.starts_with(byteOrderMark))
        eventBytes.remove_prefix(byteOrderMark.size());
    while (!eventBytes.empty()) {
        const auto end = std::min(findLineEnd(eventBytes), eventBytes.size());
        const auto line = eventBytes.substr(0, end);
        eventBytes.remove_prefix(std::min(end + 1, eventBytes.size()));
        const auto colon = line.find(':');
        const auto name = line.substr(0, colon);
        const bool isField = isStandardField(name) || (colon != std::string_view::npos && mayBeFieldName(name));
        if (!line.empty() && colon != 0 && !isField)
            return line;
    }
    return {};
}

// An event that ends with CR is passed on at once: the LF that may follow adds nothing to it, and is passed on by itself.
std::vector<stream_event> event_stream_parser::push(std::string_view bytes)
{
    std::vector<stream_event> events;
    while (!bytes.empty()) {
        if (std::exchange(m_afterReturn, false) && bytes.front() == '\n') {
            bytes.remove_prefix(1);
            if (!inEvent()) {
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
        const bool isBlank = lineSize == 0 && !m_lineTaken;
        if (lineSize > 0 && !m_lineTaken)
            readLine(std::string_view(m_event.bytes).substr(m_lineBegin, lineSize));
        m_event.bytes.append(bytes.substr(end, isPair ? 2 : 1));
        bytes.remove_prefix(end + (isPair ? 2 : 1));
        m_lineBegin = m_event.bytes.size();
        m_lineTaken = false;
        if (isBlank) {
            events.push_back(std::exchange(m_event, {}));
            m_lineBegin = 0;
            m_eventTaken = false;
        }
        m_firstLine = false;
    }
    return events;
}

// The standard takes any line for a field, the unknown ones to be ignored. A field that a later version of a server adds has a
// name and a colon; other bytes come from no server that writes events.
void event_stream_parser::readLine(std::string_view line)
{
    if (m_firstLine && line.starts_with(byteOrderMark))
        line.remove_prefix(byteOrderMark.size());
    if (line.empty())
        return;
    const auto colon = line.find(':');
    const auto name = line.substr(0, colon);
    auto value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (value.starts_with(' '))
        value.remove_prefix(1);
    if (name == "data")
        m_event.hasData = true;
    else if (name == "id" && value.find('\0') == std::string_view::npos)
        m_event.id = std::string(value);
    else if (name == "event")
        m_event.hasOther = m_event.hasType = true;
    else if (name.empty() || name == "retry")
        m_event.hasOther = true;
    else if (colon != std::string_view::npos && mayBeFieldName(name))
        m_event.hasUnknownField = true;
    else
        m_event.hasForeignLine = true;
}

stream_event event_stream_parser::takeRest()
{
    const std::size_t lineSize = m_event.bytes.size() - m_lineBegin;
    if (lineSize > 0 && !m_lineTaken)
        readLine(std::string_view(m_event.bytes).substr(m_lineBegin, lineSize));
    m_lineBegin = 0;
    m_lineTaken = false;
    m_eventTaken = false;
    return std::exchange(m_event, {});
}

std::string event_stream_parser::takeHeld()
{
    const std::size_t lineSize = m_event.bytes.size() - m_lineBegin;
    // The name of the field is known by now: what follows is its value.
    if (lineSize > 0 && !m_lineTaken)
        readLine(std::string_view(m_event.bytes).substr(m_lineBegin, lineSize));
    m_lineTaken = m_lineTaken || lineSize > 0;
    m_eventTaken = true;
    m_lineBegin = 0;
    return std::exchange(m_event.bytes, {});
}

} // namespace rampgap
