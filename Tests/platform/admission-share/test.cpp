// Shares of a group's capacity: together no more than it, and none where there is room.
#include "policy/admission_share.h"

#include <doctest/doctest.h>
#include <rapidcheck.h>

using namespace rampgap;

TEST_CASE("a loaded group is shared equally, one with room is not")
{
    admission_share_question question { 630, 300, 40, milliseconds(5'000) };
    CHECK(admissionShare(question) == 630);
    question.load = 400;
    CHECK(admissionShare(question) == 21);
    // Just opened: the counts do not show yet who comes now.
    question.load = 0;
    question.openFor = milliseconds(200);
    CHECK(admissionShare(question) == 21);
}

TEST_CASE("entry VMs together admit what the engines can run, and each may try")
{
    CHECK(rc::check([] {
        admission_share_question question;
        question.capacity = *rc::gen::inRange(0, 20'000);
        question.entries = *rc::gen::inRange<std::size_t>(0, 400);
        question.load = question.capacity;
        const int share = admissionShare(question);
        const auto entries = static_cast<int>(std::max<std::size_t>(1, question.entries));
        RC_ASSERT(share >= 2);
        RC_ASSERT(share * entries <= question.capacity * 13 / 10 + 2 * entries);
    }));
}
