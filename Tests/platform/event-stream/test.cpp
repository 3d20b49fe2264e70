// Fault: events that are passed on late, split or counted wrong, and runs of a stream that do not go on where the one before
// ended: pieces twice, missing, or of another answer.
#include "policy/requests/event_id_steps.h"
#include "policy/requests/event_stream_parser.h"
#include "policy/requests/stream_continuation.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>
#include <utility>

using namespace rampgap;

namespace {

// The standard, read slowly: lines first, then blocks of lines up to a blank one. `text` ends with a whole event.
std::vector<stream_event> parseWhole(std::string_view text)
{
    std::vector<stream_event> events;
    stream_event event;
    bool isFirstLine = true;
    while (!text.empty()) {
        const auto at = text.find_first_of("\r\n");
        const std::size_t size = text.substr(at, 2) == "\r\n" ? 2 : 1;
        std::string line(text.substr(0, at));
        event.bytes.append(text.substr(0, at + size));
        text.remove_prefix(at + size);
        if (line.empty()) {
            events.push_back(std::exchange(event, {}));
            continue;
        }
        if (std::exchange(isFirstLine, false) && line.starts_with("\xEF\xBB\xBF"))
            line.erase(0, 3);
        const auto colon = line.find(':');
        std::string value = colon == std::string::npos ? "" : line.substr(colon + 1);
        if (value.starts_with(" "))
            value.erase(0, 1);
        event.hasData = event.hasData || line.substr(0, colon) == "data";
        if (line.substr(0, colon) == "id")
            event.id = value;
    }
    return events;
}

rc::Gen<std::string> lineGenerator()
{
    return rc::gen::element<std::string>("id: 7", "id:8", "id", "data: a", "data", "data:  two", ": comment", "event: x", "retry: 5", "idea: 9", "x-weight-versions: 3");
}

rc::Gen<std::string> streamGenerator()
{
    const auto lineEnd = rc::gen::element<std::string>("\n", "\r\n", "\r");
    const auto event = rc::gen::map(rc::gen::pair(rc::gen::container<std::vector<std::string>>(lineGenerator()), rc::gen::container<std::vector<std::string>>(16, lineEnd)), [](const auto& parts) {
        std::string text;
        for (std::size_t line = 0; line < parts.first.size(); ++line)
            text += parts.first[line] + parts.second[line % parts.second.size()];
        return text + parts.second.back();
    });
    return rc::gen::map(rc::gen::pair(rc::gen::arbitrary<bool>(), rc::gen::container<std::vector<std::string>>(event)), [](const auto& parts) {
        std::string text = parts.first ? "\xEF\xBB\xBF" : "";
        for (const auto& each : parts.second)
            text += each;
        return text + "\n";
    });
}

std::vector<stream_event> pushAll(event_stream_parser& parser, std::string_view text)
{
    std::vector<stream_event> events;
    while (!text.empty()) {
        const auto size = *rc::gen::inRange<std::size_t>(1, std::min<std::size_t>(text.size(), 9) + 1);
        for (auto& event : parser.push(text.substr(0, size)))
            events.push_back(std::move(event));
        text.remove_prefix(size);
    }
    return events;
}

stream_event numbered(std::uint64_t id)
{
    return { "id: " + std::to_string(id) + "\ndata: x\n\n", std::to_string(id), true };
}

} // namespace

TEST_CASE("events are the same, and their bytes are the stream's, in whatever pieces they come")
{
    CHECK(rc::check([] {
        const std::string text = *streamGenerator();
        event_stream_parser parser;
        const auto events = pushAll(parser, text);
        std::string bytes;
        for (const auto& event : events)
            bytes += event.bytes;
        RC_ASSERT(bytes + parser.takeRest() == text);
        std::vector<stream_event> expected = parseWhole(text);
        std::erase_if(expected, [](const auto& event) { return !event.isEvent(); });
        std::vector<stream_event> found = events;
        std::erase_if(found, [](const auto& event) { return !event.isEvent(); });
        RC_ASSERT(found.size() == expected.size());
        for (std::size_t index = 0; index < found.size(); ++index) {
            RC_ASSERT(found[index].id == expected[index].id);
            RC_ASSERT(found[index].hasData == expected[index].hasData);
        }
    }));
}

TEST_CASE("an event is passed on with its last byte, whatever its lines end with")
{
    // Events whose lines ended with CR LF were held until the end of the stream.
    for (const std::string end : { "\n", "\r\n", "\r" }) {
        const std::string text = "id: 1" + end + "data: a" + end + end;
        event_stream_parser parser;
        for (std::size_t at = 0; at + 1 < text.size(); ++at) {
            const bool isWholeAtReturn = end == "\r\n" && at + 2 == text.size();
            CHECK(parser.push(text.substr(at, 1)).size() == (isWholeAtReturn ? 1 : 0));
        }
        const auto last = parser.push(text.substr(text.size() - 1));
        CHECK(last.size() == 1);
        CHECK_FALSE(parser.inEvent());
    }
}

TEST_CASE("a run that goes on, repeats or leaves out is joined without a piece twice, and not with one missing")
{
    CHECK(rc::check([] {
        const auto step = *rc::gen::inRange<std::uint64_t>(1, 9);
        const auto sent = *rc::gen::inRange<std::uint64_t>(1, 40);
        const auto first = *rc::gen::inRange<std::uint64_t>(1, 60);
        stream_continuation continuation(std::to_string(sent * step), step);
        std::uint64_t last = sent;
        for (std::uint64_t number = first; number < first + 60; ++number) {
            const auto verdict = continuation.check(numbered(number * step));
            if (verdict == continuation_verdict::gap) {
                RC_ASSERT(number == first);
                RC_ASSERT(first > sent + 1);
                return;
            }
            RC_ASSERT((verdict == continuation_verdict::send) == (number > sent));
            if (verdict == continuation_verdict::send)
                RC_ASSERT(number == std::exchange(last, number) + 1);
        }
        RC_ASSERT(first <= sent + 1);
    }));
}

TEST_CASE("nothing sound is broken off where ids are missing, no numbers, or rise by no usual step")
{
    stream_continuation unknown("12", std::nullopt);
    CHECK((unknown.check(numbered(17)) == continuation_verdict::send));
    stream_continuation words("b", 1);
    CHECK((words.check({ "id: b\ndata: x\n\n", "b", true }) == continuation_verdict::drop));
    CHECK((words.check({ "id: c\ndata: x\n\n", "c", true }) == continuation_verdict::send));
    CHECK((words.check({ "id: b\ndata: x\n\n", "b", true }) == continuation_verdict::send));
    stream_continuation none("12", 1);
    CHECK((none.check({ "data: x\n\n", std::nullopt, true }) == continuation_verdict::send));
    CHECK((none.check({ ": comment\n\n", std::nullopt, false }) == continuation_verdict::send));
    // What follows a repeated event without an id of its own is repeated with it, but for the last one that the caller has.
    stream_continuation anew("12", 1);
    CHECK((anew.check(numbered(11)) == continuation_verdict::drop));
    CHECK((anew.check({ "data: x\n\n", std::nullopt, true }) == continuation_verdict::drop));
    CHECK((anew.check(numbered(12)) == continuation_verdict::drop));
    CHECK((anew.check({ "data: x\n\n", std::nullopt, true }) == continuation_verdict::send));
}

TEST_CASE("a run that repeats without end is left")
{
    stream_continuation continuation("5000", 1);
    auto verdict = continuation_verdict::drop;
    std::uint64_t asked = 0;
    while (verdict == continuation_verdict::drop && asked < 5'000)
        verdict = continuation.check(numbered(++asked));
    CHECK((verdict == continuation_verdict::too_many_repeated));
    CHECK(asked < 5'000);
}

TEST_CASE("a usual step is known once nearly all have it, and is forgotten where a service numbers otherwise")
{
    event_id_steps steps;
    for (std::uint64_t id = 4; id < 4 * 60; id += 4)
        steps.record(id, id + 4);
    CHECK_FALSE(steps.usual());
    for (int more = 0; more < 10; ++more)
        steps.record(96, 100);
    CHECK(steps.usual() == 4);
    // The last event of a stream holds fewer tokens.
    steps.record(100, 102);
    CHECK(steps.usual() == 4);
    // Several tokens in one event, once: larger steps are possible.
    steps.record(102, 120);
    CHECK_FALSE(steps.usual());
    for (int more = 0; more < 10'000; ++more)
        steps.record(7, 8);
    CHECK(steps.usual() == 1);
}

TEST_CASE("an id that does not fit into a header names no event to go on after")
{
    CHECK(mayNameEvent("12"));
    CHECK_FALSE(mayNameEvent(""));
    CHECK_FALSE(mayNameEvent("1\x01"));
    CHECK_FALSE(mayNameEvent(std::string(300, '1')));
}
