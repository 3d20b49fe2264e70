// Shares of a group's capacity: together about as much as it, and what is free for whoever
// has callers.
#include "policy/admission_share.h"

#include <doctest/doctest.h>
#include <numeric>
#include <rapidcheck.h>

using namespace rampgap;

TEST_CASE("a full group is shared equally, of one with room each takes its part besides")
{
    admission_share_question question { 600, 510, 0, 0, 40 };
    CHECK(admissionShare(question) == 13);
    question.load = 110;
    question.own = 20;
    CHECK(admissionShare(question) == 30);
    // What was sent since the count was made is neither load nor room: nothing more may follow.
    question.load = 20;
    question.uncounted = 20;
    CHECK(admissionShare(question) == 13);
}

TEST_CASE("entry VMs together admit about what the engines can run, and each may try")
{
    CHECK(rc::check([] {
        const auto entries = *rc::gen::inRange<std::size_t>(1, 100);
        admission_share_question question;
        question.capacity = *rc::gen::inRange(0, 20'000);
        question.entries = entries;
        const auto owns = *rc::gen::container<std::vector<int>>(entries, rc::gen::inRange(0, 300));
        question.load = std::accumulate(owns.begin(), owns.end(), 0);
        const int equal = question.capacity / static_cast<int>(entries);
        int together = 0;
        for (const int own : owns) {
            question.own = own;
            const int share = admissionShare(question);
            RC_ASSERT(share >= 2);
            // What an entry VM may have beyond what it has; none is called back.
            together += std::max(0, share - std::max(own, equal));
        }
        RC_ASSERT(together <= std::max(0, question.capacity - question.load) + 3 * static_cast<int>(entries));
    }));
}

TEST_CASE("with one old count entry VMs together admit about what was free, whoever has the callers")
{
    CHECK(rc::check([] {
        const auto entries = *rc::gen::inRange<std::size_t>(1, 60);
        const int capacity = *rc::gen::inRange(0, 3'000);
        const auto counted = *rc::gen::container<std::vector<int>>(entries, rc::gen::inRange(0, 60));
        const auto wanted = *rc::gen::container<std::vector<int>>(entries, rc::gen::inRange(0, 200));
        const int load = std::accumulate(counted.begin(), counted.end(), 0);
        int admitted = 0;
        for (std::size_t i = 0; i < entries; ++i) {
            admission_share_question question { capacity, load, counted[i], 0, entries };
            // One by one, each asking anew.
            while (question.uncounted < wanted[i] && question.own < admissionShare(question)) {
                ++question.own;
                ++question.uncounted;
                ++question.load;
            }
            admitted += question.uncounted;
        }
        const int equalParts = capacity + 3 * static_cast<int>(entries);
        // Who has less than an equal part may fill it; of what is free each takes a part.
        RC_ASSERT(admitted <= equalParts);
    }));
}

TEST_CASE("callers at a third of the entry VMs get most of the places after two counts")
{
    // 42 entry VMs, 612 places, 15 of them with 40 callers each.
    constexpr std::size_t entries = 42;
    std::vector<int> own(entries, 0);
    for (int count = 0; count < 4; ++count) {
        const int load = std::accumulate(own.begin(), own.end(), 0);
        for (std::size_t i = 0; i < 15; ++i) {
            admission_share_question question { 720, load, own[i], 0, entries };
            while (question.own < 40 && question.own < admissionShare(question)) {
                ++question.own;
                ++question.uncounted;
                ++question.load;
            }
            own[i] = question.own;
        }
    }
    // Equal parts alone: 225.
    CHECK(std::accumulate(own.begin(), own.end(), 0) >= 400);
}
