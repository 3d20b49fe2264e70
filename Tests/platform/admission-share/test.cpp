// Shares of a group's capacity: together they are about the capacity, and an entry VM with more callers
// can use free slots.
#include "policy/requests/admission_share.h"

#include <algorithm>
#include <array>
#include <deque>
#include <doctest/doctest.h>
#include <numeric>
#include <rapidcheck.h>

using namespace rampgap;

namespace {

constexpr milliseconds settled { 5'000 };

} // namespace

TEST_CASE("a full group is shared equally, and each entry VM may use its part of the free slots as well, half of it by what it runs")
{
    admission_share_input question { 600, 510, 0, 40, settled };
    CHECK(admissionShare(question) == 13);
    question.load = 110;
    // Of 400 free slots each VM may use 5, and this one 36 for its 20 of 110 requests.
    question.own = 20;
    CHECK(admissionShare(question) == 62);
    question.own = 0;
    CHECK(admissionShare(question) == 13);
    question.own = 20;
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

namespace {

// Entry VMs before one group whose accepted gap allows `capacity` of its `slots` requests at once.
class simulated_entries {
public:
    // Requests that were started in this many seconds, of `perSecond` that arrive; VM 0 gets the part `first` of
    // them, and the others share the rest.
    int startedIn(int seconds, double perSecond, double first)
    {
        int started = 0;
        for (int step = 0; step < seconds * stepsPerSecond; ++step, ++m_step) {
            for (std::size_t entry = 0; entry < entries; ++entry) {
                const double part = entry == 0 ? first : (1 - first) / (entries - 1);
                m_arriving[entry] += perSecond * part / stepsPerSecond;
                m_waiting[entry] += static_cast<int>(m_arriving[entry]);
                m_arriving[entry] -= static_cast<int>(m_arriving[entry]);
                // Callers leave after a second.
                m_waiting[entry] = std::min(m_waiting[entry], static_cast<int>(perSecond * part) + 1);
                started += start(entry);
            }
            endOld();
            if (m_step % countAge == 0)
                m_counted = m_step;
        }
        return started;
    }

private:
    static constexpr int stepsPerSecond = 100;
    static constexpr std::size_t entries = 7;
    static constexpr int slots = 144;
    static constexpr int capacity = 60;
    // Steps between two counts from engines, and steps that a request runs.
    static constexpr int countAge = 25;
    static constexpr int run = 100;

    int start(std::size_t entry)
    {
        int started = 0;
        while (m_waiting[entry] > 0 && share(entry) > static_cast<int>(m_running[entry].size())) {
            --m_waiting[entry];
            m_running[entry].push_back(m_step);
            ++started;
        }
        return started;
    }

    // A VM knows all of its own requests, but of the others only those that the last count of the engines holds.
    int share(std::size_t entry) const
    {
        admission_share_input input { capacity, 0, static_cast<int>(m_running[entry].size()), entries, settled };
        input.slots = slots;
        input.draw = 0.5;
        for (std::size_t other = 0; other < entries; ++other)
            input.load += static_cast<int>(std::count_if(m_running[other].begin(), m_running[other].end(), [&](int at) { return at <= m_counted || other == entry; }));
        input.sentRecently = static_cast<int>(std::count_if(m_running[entry].begin(), m_running[entry].end(), [&](int at) { return at > m_counted; }));
        return admissionShare(input);
    }

    void endOld()
    {
        for (auto& running : m_running) {
            while (!running.empty() && m_step - running.front() >= run)
                running.pop_front();
        }
    }

    int m_step = 0;
    int m_counted = 0;
    std::array<double, entries> m_arriving {};
    std::array<int, entries> m_waiting {};
    std::array<std::deque<int>, entries> m_running;
};

} // namespace

TEST_CASE("an entry VM that gets nearly all callers starts three quarters of what the VMs did together")
{
    // Load pattern: the platform hands nearly all new connections to one VM, at a load just below what the group can run.
    simulated_entries fleet;
    constexpr int seconds = 10;
    constexpr double perSecond = 50;
    fleet.startedIn(seconds, perSecond, 1.0 / 7);
    const int before = fleet.startedIn(seconds, perSecond, 1.0 / 7);
    fleet.startedIn(3, perSecond, 0.95);
    const int during = fleet.startedIn(seconds, perSecond, 0.95);
    MESSAGE("started in " << seconds << " s: " << before << " before, " << during << " at mostly one VM");
    CHECK(during >= 0.75 * before);
}
