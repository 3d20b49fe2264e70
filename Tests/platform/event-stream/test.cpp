// Fault: events that are passed on late, split or counted wrong, and runs of a stream that do not go on where the one before
// ended: pieces twice, missing, or of another answer.
#include "policy/requests/event_filter.h"
#include "policy/requests/event_id_steps.h"
#include "policy/requests/event_judge.h"
#include "policy/requests/event_stream_parser.h"

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

// The one event that the text is.
stream_event eventOf(const std::string& text)
{
    event_stream_parser parser;
    const auto events = parser.push(text);
    REQUIRE(events.size() == 1);
    return events.front();
}

constexpr event_verdict sends { event_action::send, stream_violation::none };
constexpr event_verdict drops { event_action::drop, stream_violation::none };
constexpr event_verdict holds { event_action::hold, stream_violation::none };

event_verdict refuses(stream_violation violation)
{
    return { event_action::refuse, violation };
}

// A judge of a stream that has shown events 1 to `last`.
event_judge judgeAfter(std::uint64_t last, event_contract contract, std::optional<std::uint64_t> usualStep = 1)
{
    event_judge judge(contract, "", usualStep);
    for (std::uint64_t number = 1; number <= last; ++number)
        CHECK((judge.judge(numbered(number)) == sends));
    return judge;
}

event_judge judgeAfterFive(event_contract contract, std::optional<std::uint64_t> usualStep = 1)
{
    return judgeAfter(5, contract, usualStep);
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
        RC_ASSERT(bytes + parser.takeRest().bytes == text);
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
        const auto contract = *rc::gen::element(event_contract::standard, event_contract::numbered);
        event_judge judge(contract, std::to_string(sent * step), step);
        std::uint64_t last = sent;
        for (std::uint64_t number = first; number < first + 60; ++number) {
            const auto verdict = judge.judge(numbered(number * step));
            if (verdict == refuses(stream_violation::gap)) {
                RC_ASSERT(number == first);
                RC_ASSERT(first > sent + 1);
                return;
            }
            RC_ASSERT(verdict == (number > sent ? sends : drops));
            if (verdict == sends)
                RC_ASSERT(number == std::exchange(last, number) + 1);
        }
        RC_ASSERT(first <= sent + 1);
    }));
}

TEST_CASE("nothing sound is broken off where ids are missing, no numbers, or rise by no usual step")
{
    event_judge unknown(event_contract::standard, "12", std::nullopt);
    CHECK((unknown.judge(numbered(17)) == sends));
    event_judge words(event_contract::standard, "b", 1);
    CHECK((words.judge({ "id: b\ndata: x\n\n", "b", true }) == drops));
    CHECK((words.judge({ "id: c\ndata: x\n\n", "c", true }) == sends));
    CHECK((words.judge({ "id: b\ndata: x\n\n", "b", true }) == sends));
    event_judge none(event_contract::standard, "12", 1);
    CHECK((none.judge({ "data: x\n\n", std::nullopt, true }) == sends));
    CHECK((none.judge({ ": comment\n\n", std::nullopt, false }) == sends));
    // What follows a repeated event without an id of its own is repeated with it, but for the last one that the caller has.
    event_judge anew(event_contract::standard, "12", 1);
    CHECK((anew.judge(numbered(11)) == drops));
    CHECK((anew.judge({ "data: x\n\n", std::nullopt, true }) == drops));
    CHECK((anew.judge(numbered(12)) == drops));
    CHECK((anew.judge({ "data: x\n\n", std::nullopt, true }) == sends));
}

TEST_CASE("a run that repeats without end is left")
{
    event_judge judge(event_contract::standard, "5000", 1);
    event_verdict verdict = drops;
    std::uint64_t asked = 0;
    while (verdict == drops && asked < 5'000)
        verdict = judge.judge(numbered(++asked));
    CHECK((verdict == refuses(stream_violation::repeats)));
    CHECK(asked < 5'000);
}

// A run of events whose ids rise by the steps, each so often.
run_steps runOf(const std::vector<std::pair<std::uint64_t, int>>& steps)
{
    run_steps run;
    std::uint64_t id = 1;
    for (const auto& [step, count] : steps) {
        for (int more = 0; more < count; ++more, id += step)
            run.record(id, id + step);
    }
    return run;
}

TEST_CASE("a usual step is known once nearly all have it, and is forgotten where a service numbers otherwise")
{
    event_id_steps steps;
    steps.record(runOf({ { 4, 23 } }));
    steps.record(runOf({ { 4, 23 } }));
    CHECK_FALSE(steps.isKnown());
    CHECK_FALSE(steps.usual());
    steps.record(runOf({ { 4, 23 } }));
    CHECK(steps.isKnown());
    CHECK(steps.usual() == 4);
    // The last event of a stream holds fewer tokens.
    for (int run = 0; run < 3; ++run)
        steps.record(runOf({ { 4, 22 }, { 2, 1 } }));
    CHECK(steps.usual() == 4);
    // Several tokens in one event, in several runs: larger steps are possible.
    for (int run = 0; run < 3; ++run)
        steps.record(runOf({ { 4, 22 }, { 18, 1 } }));
    CHECK_FALSE(steps.usual());
    for (int run = 0; run < 800; ++run)
        steps.record(runOf({ { 1, 23 } }));
    CHECK(steps.usual() == 1);
    // Many different steps, by turns.
    event_id_steps turns;
    for (std::uint64_t run = 0; run < 40; ++run)
        turns.record(runOf({ { 1 + run % 5, 5 }, { 6 + run, 5 }, { 2, 5 } }));
    CHECK(turns.isKnown());
    CHECK_FALSE(turns.usual());
}

TEST_CASE("garbage of one run does not make larger steps usual, and a run that was refuted teaches nothing")
{
    const auto steps = std::make_shared<event_id_steps>();
    for (int run = 0; run < 10; ++run)
        steps->record(runOf({ { 1, 23 } }));
    steps->record(runOf({ { 1, 10 }, { 900, 1 }, { 1, 10 } }));
    CHECK(steps->usual() == 1);
    for (int run = 0; run < 5; ++run) {
        event_filter refuted({ event_contract::numbered, "", steps });
        refuted.push("id: 1\ndata: x\n\nid: 90\ndata: x\n\nid: 91\ndata: x\n\nbusy\n\n");
        CHECK(refuted.violation());
    }
    CHECK(steps->usual() == 1);
}

TEST_CASE("the stream's first run shows what its ids rise by while the service's step is not known yet")
{
    const auto steps = std::make_shared<event_id_steps>();
    event_filter unknown({ event_contract::numbered, "5", steps });
    CHECK(unknown.push("id: 7\ndata: x\n\n").size() == 1);
    event_filter shown({ event_contract::numbered, "5", steps, runOf({ { 1, 4 } }) });
    CHECK(shown.push("id: 7\ndata: x\n\n").empty());
    REQUIRE(shown.violation());
    CHECK((shown.violation()->violation == stream_violation::gap));
    // By turns, or too few to tell.
    for (const auto& run : { runOf({ { 1, 2 }, { 2, 2 } }), runOf({ { 1, 2 } }) }) {
        event_filter turns({ event_contract::numbered, "5", steps, run });
        CHECK(turns.push("id: 7\ndata: x\n\n").size() == 1);
    }
}

TEST_CASE("an id that does not fit into a header names no event to go on after")
{
    CHECK(mayNameEvent("12"));
    CHECK_FALSE(mayNameEvent(""));
    CHECK_FALSE(mayNameEvent("1\x01"));
    CHECK_FALSE(mayNameEvent(std::string(300, '1')));
}

TEST_CASE("an event with the wrong id, or bytes that are no event, are refused in a stream of numbered events")
{
    const std::vector<std::pair<std::string, stream_violation>> cases {
        { "data: x\n\n", stream_violation::no_id },
        { "id:\ndata: x\n\n", stream_violation::empty_id },
        { "id\ndata: x\n\n", stream_violation::empty_id },
        { "id: a\ndata: x\n\n", stream_violation::no_number },
        { "id: 99999999999999999999\ndata: x\n\n", stream_violation::no_number },
        { "id: -6\ndata: x\n\n", stream_violation::no_number },
        { std::string("id: 6\0\ndata: x\n\n", 16), stream_violation::no_id },
        { "id: 5\ndata: x\n\n", stream_violation::not_rising },
        { "id: 3\ndata: x\n\n", stream_violation::not_rising },
        { "garbage\n\n", stream_violation::no_field },
        { "\x80\xff: a\n\n", stream_violation::no_field },
        { "two words: a\n\n", stream_violation::no_field },
        { "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", stream_violation::no_field },
        { "!!\nid: 6\ndata: x\n\n", stream_violation::no_field },
        { "id: 6\ndata: x\n!!\n\n", stream_violation::no_field },
        { " \n\n", stream_violation::no_field },
        { "x-new: 1\n\n", stream_violation::no_event },
    };
    for (const auto& [text, violation] : cases) {
        auto judge = judgeAfterFive(event_contract::numbered);
        CAPTURE(text);
        CHECK(toString(judge.judge(eventOf(text)).violation) == toString(violation));
    }
    // From the first event on.
    event_judge first(event_contract::numbered, "", std::nullopt);
    CHECK((first.judge(eventOf("data: x\n\n")) == refuses(stream_violation::no_id)));
}

TEST_CASE("comments, blank lines, fields of a later version and other lines of the standard are let through in both kinds of streams")
{
    for (const auto contract : { event_contract::standard, event_contract::numbered }) {
        auto judge = judgeAfterFive(contract);
        for (const std::string text : { ": ping\n\n", ":\n\n", "\n", "retry: 1000\n\n", "event: x\n\n", ": ping\nx-new: 1\n\n" })
            CHECK((judge.judge(eventOf(text)) == sends));
        CHECK((judge.judge(eventOf("x-weight-versions: 3\nid: 6\ndata: x\n\n")) == sends));
        CHECK((judge.judge(eventOf("event: x\r\nid: 7\r\ndata: x\r\nx_new-2: y\r\nretry: 3\r\n\r\n")) == sends));
        CHECK((judge.judge(eventOf("id: 8\n\n")) == sends));
        event_judge marked(contract, "", std::nullopt);
        CHECK((marked.judge(eventOf("\xEF\xBB\xBFid: 1\ndata: x\n\n")) == sends));
    }
}

TEST_CASE("an id far above the one before waits for the next event, and is refused if that one is lower")
{
    auto garbage = judgeAfterFive(event_contract::numbered);
    CHECK((garbage.judge(numbered(900)) == holds));
    CHECK((garbage.judge(numbered(6)) == refuses(stream_violation::far_id)));
    // Several tokens in one event.
    auto sound = judgeAfterFive(event_contract::numbered);
    CHECK((sound.judge(numbered(9)) == holds));
    CHECK((sound.judge(numbered(10)) == sends));
    // Without a usual step the run's only one is expected again.
    auto unknown = judgeAfterFive(event_contract::numbered, std::nullopt);
    CHECK((unknown.judge(numbered(12)) == holds));
    CHECK((unknown.judge(numbered(6)) == refuses(stream_violation::far_id)));
    // Ids rise by several, by turns.
    event_judge turns(event_contract::numbered, "", std::nullopt);
    for (const std::uint64_t number : { 1, 2, 4, 5, 7, 13 })
        CHECK((turns.judge(numbered(number)) == sends));
    CHECK((turns.judge(numbered(900)) == holds));
    // Ids that begin high, such as times, are not far.
    event_judge times(event_contract::numbered, "", std::nullopt);
    CHECK((times.judge(numbered(1'700'000'000'000)) == sends));
    CHECK((times.judge(numbered(1'700'000'000'940)) == sends));
}

TEST_CASE("events without ids, with the same id, and an end without one, are let through where nothing is promised")
{
    event_judge unnumbered(event_contract::standard, "", std::nullopt);
    for (int event = 0; event < 5; ++event)
        CHECK((unnumbered.judge(eventOf("data: x\n\n")) == sends));
    // An id now and then.
    event_judge marks(event_contract::standard, "", std::nullopt);
    for (std::uint64_t number = 10; number < 50; number += 10) {
        CHECK((marks.judge(numbered(number)) == sends));
        CHECK((marks.judge(eventOf("data: x\n\n")) == sends));
    }
    event_judge times(event_contract::standard, "", std::nullopt);
    for (const std::uint64_t number : { 1, 2, 3, 4, 4, 4, 9 })
        CHECK((times.judge(numbered(number)) == sends));
    // Events of a type of their own between the others.
    auto typed = judgeAfter(8, event_contract::standard);
    CHECK((typed.judge(eventOf("event: ping\ndata: x\n\n")) == sends));
    CHECK((typed.judge(numbered(9)) == sends));
    // Ids in no order.
    event_judge words(event_contract::standard, "", std::nullopt);
    for (const std::uint64_t number : { 170, 2'300, 47'110, 50'000, 88, 90, 91, 92, 93, 94, 95, 96, 97, 20 })
        CHECK((words.judge(numbered(number)) == sends));
    auto ended = judgeAfter(8, event_contract::standard);
    CHECK((ended.judge(eventOf("data: [DONE]\n\n")) == holds));
    CHECK((ended.judge(eventOf(": bye\n\n")) == sends));
}

TEST_CASE("what a stream's own events have shown refutes an event without an id, and an id that goes back")
{
    auto unnumbered = judgeAfter(8, event_contract::standard);
    CHECK((unnumbered.judge(eventOf("data: x\n\n")) == holds));
    CHECK((unnumbered.judge(numbered(9)) == refuses(stream_violation::no_id)));
    auto empty = judgeAfter(8, event_contract::standard);
    CHECK((empty.judge(eventOf("id:\ndata: x\n\n")) == holds));
    CHECK((empty.judge(numbered(9)) == refuses(stream_violation::empty_id)));
    auto back = judgeAfter(8, event_contract::standard);
    CHECK((back.judge(numbered(3)) == refuses(stream_violation::not_rising)));
}

TEST_CASE("an answer that says where it ends, and ends inside an event, is not whole")
{
    for (const std::string rest : { "id: 6\ndata: x\n", "id: 6\ndata: x", "id: 6" }) {
        event_stream_parser parser;
        parser.push(rest);
        auto judge = judgeAfterFive(event_contract::numbered);
        CHECK((judge.judgeRest(parser.takeRest()) == refuses(stream_violation::unfinished)));
    }
    for (const auto contract : { event_contract::standard, event_contract::numbered }) {
        event_stream_parser parser;
        parser.push("garb");
        auto judge = judgeAfterFive(contract);
        CHECK((judge.judgeRest(parser.takeRest()) == refuses(stream_violation::no_field)));
    }
    event_stream_parser parser;
    parser.push("data: [DONE]");
    event_judge judge(event_contract::standard, "", std::nullopt);
    CHECK((judge.judgeRest(parser.takeRest()) == sends));
}

TEST_CASE("the log shows the line that is no field, not the answer beside it")
{
    CHECK(findForeignLine("id: 6\r\ndata: secret\r\n!!\r\n\r\n") == "!!");
    CHECK(findForeignLine("id: 6\ndata: secret\n: x\nx-new: y\n\n").empty());
    event_filter filter({ event_contract::numbered, "", nullptr });
    filter.push("id: 1\ndata: a\n\nid: 2\ndata: secret\n<\"\x80>\n\n");
    REQUIRE(filter.violation());
    CHECK((*filter.violation() == violation_report { stream_violation::no_field, "1", "2", "<\\x22\\x80>" }));
}

TEST_CASE("events whose ids rise evenly, by more than is usual for the service or near the largest number, do not wait one after the other")
{
    // Another route of the same service, too rare to be learned from.
    event_judge rare(event_contract::numbered, "", 1);
    for (const std::uint64_t number : { 10, 20, 30, 40 })
        CHECK_FALSE(rare.judge(numbered(number)).action == event_action::refuse);
    for (std::uint64_t number = 50; number < 200; number += 10)
        CHECK((rare.judge(numbered(number)) == sends));
    // Eight times the first id is more than fits into a number.
    event_judge high(event_contract::numbered, "", std::nullopt);
    constexpr std::uint64_t first = 1ULL << 63U;
    for (std::uint64_t number = first; number < first + 9; ++number)
        CHECK((high.judge(numbered(number)) == sends));
}

TEST_CASE("a stream whose own events rise by more than is usual for the service is not broken off where it goes on")
{
    const auto steps = std::make_shared<event_id_steps>();
    for (int run = 0; run < 10; ++run)
        steps->record(runOf({ { 1, 23 } }));
    event_filter goesOn({ event_contract::numbered, "60", steps, runOf({ { 10, 5 } }) });
    CHECK(goesOn.push("id: 70\ndata: x\n\n").size() == 1);
    CHECK_FALSE(goesOn.violation());
    // By turns: the largest of its steps is no sign that events are missing.
    event_filter turns({ event_contract::numbered, "60", std::make_shared<event_id_steps>(), runOf({ { 10, 5 }, { 14, 5 } }) });
    CHECK(turns.push("id: 72\ndata: x\n\n").size() == 1);
}

TEST_CASE("no server is to go on after an id that may be garbage itself")
{
    // Garbage with the id 9, or with the id 6: nobody can tell.
    event_filter doubtful({ event_contract::numbered, "", nullptr });
    doubtful.push("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 4\ndata: c\n\nid: 9\ndata: d\n\nid: 6\ndata: e\n\n");
    REQUIRE(doubtful.violation());
    CHECK(doubtful.mayLastBeGarbage());
    event_filter even({ event_contract::numbered, "", nullptr });
    even.push("id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 2\ndata: d\n\n");
    REQUIRE(even.violation());
    CHECK_FALSE(even.mayLastBeGarbage());
}

TEST_CASE("a far id that ends an answer does not teach, and comments behind one that waits cost their bytes only")
{
    const auto steps = std::make_shared<event_id_steps>();
    for (int run = 0; run < 5; ++run) {
        event_filter ended({ event_contract::numbered, "", steps });
        std::string text;
        for (int id = 1; id < 30; ++id)
            text += "id: " + std::to_string(id) + "\ndata: x\n\n";
        CHECK(ended.push(text).size() == 29);
        CHECK(ended.push("id: 900\ndata: x\n\n\n\n\n: a\n\n").empty());
        CHECK(ended.heldBytes() == 25);
        CHECK(ended.finish().size() == 1);
        ended.learn();
    }
    CHECK_FALSE(steps->isKnown());
}
