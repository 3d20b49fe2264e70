// Shares of a group's capacity: together they are about the capacity, and an entry VM with more callers
// can use free slots.
#include "policy/requests/admission_share.h"

#include <doctest/doctest.h>
#include <numeric>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

constexpr milliseconds settled { 5'000 };

} // namespace

TEST_CASE("a full group is shared equally, and each entry VM may use its part of the free slots as well")
{
    admission_share_input question { 600, 510, 0, 40, settled };
    CHECK(admissionShare(question) == 13);
    question.load = 110;
    question.own = 20;
    CHECK(admissionShare(question) == 30);
    // The group has just opened: the counts do not yet show the arriving requests.
    question.load = 0;
    question.openFor = milliseconds(200);
    CHECK(admissionShare(question) == 13);
}

TEST_CASE("entry VMs together admit about what the engines can run, and each may send at least two requests")
{
    CHECK(rc::check([] {
        const auto entries = *rc::gen::inRange<std::size_t>(1, 100);
        admission_share_input question;
        question.capacity = *rc::gen::inRange(0, 20'000);
        question.entries = entries;
        question.openFor = settled;
        const auto owns = *rc::gen::container<std::vector<int>>(entries, rc::gen::inRange(0, 300));
        question.load = std::accumulate(owns.begin(), owns.end(), 0);
        const int equal = question.capacity / static_cast<int>(entries);
        int together = 0;
        for (const int own : owns) {
            question.own = own;
            const int share = admissionShare(question);
            RC_ASSERT(share >= 2);
            // What an entry VM may send beyond what is running; running requests are not withdrawn.
            together += std::max(0, share - std::max(own, equal));
        }
        RC_ASSERT(together <= std::max(0, question.capacity - question.load) + 3 * static_cast<int>(entries));
    }));
}
