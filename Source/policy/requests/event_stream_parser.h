// Splits a stream of server-sent events into its events, in whatever pieces its bytes come.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace rampgap {

// May stand at the start of a stream, where readers skip it.
inline constexpr std::string_view byteOrderMark = "\xEF\xBB\xBF";

// One event, or one block of comments. The standard is the WHATWG's `text/event-stream`.
struct stream_event {
    // From its first line to the end of the blank line that ends it.
    std::string bytes;
    // The value of its last "id" line.
    std::optional<std::string> id;
    bool hasData = false;
    // It has a comment, an "event" line or a "retry" line.
    bool hasOther = false;
    // It has an "event" line: readers may handle it apart from the others.
    bool hasType = false;
    // It has a line with a field that the standard does not know: readers ignore it.
    bool hasUnknownField = false;
    // It has a line that is neither a field nor a comment.
    bool hasForeignLine = false;

    // False for comments alone, and for the second half of a line end that came in two pieces.
    bool isEvent() const { return hasData || id.has_value(); }
    bool operator==(const stream_event&) const = default;
};

// The first line of the event that is neither a field nor a comment; empty if there is none.
std::string_view findForeignLine(std::string_view eventBytes);

class event_stream_parser {
public:
    // The events that are whole now that `bytes` have come. The bytes of all events, in their order, are those of the stream.
    std::vector<stream_event> push(std::string_view bytes);
    // An event has begun and is not whole yet.
    bool inEvent() const { return m_eventTaken || !m_event.bytes.empty(); }
    // Bytes of that event. The parser does not limit them.
    std::size_t heldBytes() const { return m_event.bytes.size(); }
    // That event as far as it has come, its unfinished line read as if it were whole.
    stream_event takeRest();
    // The bytes of that event, for events that are passed on before they are whole; the rest of it follows with the event.
    std::string takeHeld();
    // That event as far as its lines have come.
    const stream_event& current() const { return m_event; }

private:
    void readLine(std::string_view line);

    stream_event m_event;
    // Where the line that is being read begins in the event.
    std::size_t m_lineBegin = 0;
    // Bytes of the event, or of its line, were taken already.
    bool m_eventTaken = false;
    bool m_lineTaken = false;
    // The last byte was a CR: an LF that follows belongs to the same line end.
    bool m_afterReturn = false;
    bool m_firstLine = true;
};

} // namespace rampgap
