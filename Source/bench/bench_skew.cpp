// Expert rebalancing on drifting popularity: step-time skew against weights moved.

#include "bench/bench_flags.h"
#include "bench/benchmarks.h"
#include "bench/percentiles.h"
#include "policy/groups/popularity_estimate.h"
#include "policy/groups/rebalancer.h"
#include "policy/groups/straggler_detector.h"

#include <chrono>
#include <cmath>
#include <fstream>
#include <iostream>
#include <random>

namespace rampgap::bench {

namespace {

    constexpr std::size_t ranks = 32;
    constexpr std::size_t slots = 5;
    constexpr std::size_t experts = 128;
    constexpr std::size_t layers = 6;
    constexpr double tokensPerInterval = 1e6;

    double driftOf(const std::string& workload)
    {
        if (workload == "month_end")
            return 0.02;
        return workload == "zipf" ? 0.05 : 0.03;
    }

    // Popularity of one layer over time.
    class popularity_source {
    public:
        popularity_source(const std::string& workload, std::uint64_t seed)
            : m_workload(workload)
            , m_random(seed)
            , m_log(experts)
            , m_phase(experts)
            , m_amplitude(experts)
        {
            std::normal_distribution<double> normal;
            for (std::size_t i = 0; i < experts; ++i) {
                m_log[i] = workload == "zipf" ? -1.1 * std::log(1.0 + static_cast<double>(i)) : 0.8 * normal(m_random);
                m_phase[i] = 6.28318 * static_cast<double>(m_random() % 1'000) / 1'000;
                m_amplitude[i] = 0.6 * std::abs(normal(m_random));
            }
            std::shuffle(m_log.begin(), m_log.end(), m_random);
        }

        // Token counts of the next interval.
        std::vector<double> next()
        {
            std::normal_distribution<double> normal;
            const double drift = driftOf(m_workload);
            // A shift to other experts over 20 intervals, or within one.
            const bool shifting = m_workload == "month_end" && m_time % 100 >= 60 && m_time % 100 < 80;
            const bool flash = m_workload == "flash" && m_time % 80 == 40;
            std::vector<double> counts(experts);
            double total = 0;
            for (std::size_t i = 0; i < experts; ++i) {
                m_log[i] = 0.995 * m_log[i] + drift * normal(m_random);
                if (shifting)
                    m_log[i] += 0.12 * normal(m_random);
                if (flash && i % 16 == m_time / 80 % 16)
                    m_log[i] += 1.5;
                const double daily = m_workload == "diurnal" ? m_amplitude[i] * std::sin(m_phase[i] + 6.28318 * static_cast<double>(m_time) / 288) : 0;
                counts[i] = std::exp(m_log[i] + daily);
                total += counts[i];
            }
            for (double& count : counts)
                count *= tokensPerInterval / total;
            ++m_time;
            return counts;
        }

    private:
        std::string m_workload;
        std::mt19937_64 m_random;
        std::vector<double> m_log;
        std::vector<double> m_phase;
        std::vector<double> m_amplitude;
        std::size_t m_time = 0;
    };

    struct contender {
        std::string name;
        std::string policy;
        rebalance_settings settings;
        bool predicts = true;
        bool oracle = false;
    };

    struct skew_figures {
        std::vector<double> skews;
        double moved = 0;
        double decisionMs = 0;
        std::size_t decisions = 0;
    };

    skew_figures runContender(const contender& who, const std::string& workload, std::uint64_t seed, std::size_t intervals)
    {
        skew_figures figures;
        const auto policy = std::move(rebalancer::make(who.policy, who.settings).value());
        for (std::size_t layer = 0; layer < layers; ++layer) {
            popularity_source source(workload, seed + layer);
            popularity_estimate estimate(experts, who.predicts ? 0.8 : 1.0, who.predicts ? 0.8 : 0.0);
            straggler_detector detector(ranks, 3);
            expert_placement placement(ranks, slots, experts);
            std::vector<double> trueSpeeds(ranks, 1.0);
            std::vector<double> counts = source.next();
            bool placed = false;
            for (std::size_t i = 0; i < intervals; ++i) {
                if (workload == "straggler" && i == intervals / 4)
                    trueSpeeds[7] = 0.7;
                estimate.observe(counts);
                std::vector<double> perWork;
                for (const double speed : trueSpeeds)
                    perWork.push_back(1 / speed);
                detector.observe(perWork);
                counts = source.next();
                const auto& basis = who.oracle ? counts : estimate.predicted();
                const auto begin = std::chrono::steady_clock::now();
                // All start alike, from a full placement for the first counts.
                const auto next = placed ? policy->decide(placement, basis, detector.speeds()) : rebalancer::make("full", {}).value()->decide(placement, basis, detector.speeds());
                figures.decisionMs += std::chrono::duration<double, std::milli>(std::chrono::steady_clock::now() - begin).count();
                ++figures.decisions;
                figures.moved += placed ? static_cast<double>(weightsMoved(placement, next)) : 0;
                placed = true;
                placement = next;
                figures.skews.push_back(stepSkew(rankTimes(placement, counts, trueSpeeds)));
            }
        }
        return figures;
    }

    struct front_point {
        std::string workload;
        std::string name;
        double moved;
        double p99;
    };

    void writePlot(const std::string& path, const std::vector<front_point>& points)
    {
        std::ofstream out(path);
        constexpr double width = 900;
        constexpr double height = 520;
        out << "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 " << width << " " << height << "' font-family='sans-serif' font-size='11'>\n"
            << "<rect width='100%' height='100%' fill='white'/>\n<text x='20' y='22' font-size='15'>p99 step-time skew against weights moved a layer and interval (log)</text>\n";
        const auto x = [](double moved) { return 70 + 150 * (std::log10(moved + 0.01) + 2); };
        const auto y = [](double p99) { return 470 - 230 * (std::min(p99, 2.9) - 1); };
        for (const double tick : { 0.0, 0.1, 1.0, 10.0, 100.0 })
            out << "<line x1='" << x(tick) << "' x2='" << x(tick) << "' y1='40' y2='475' stroke='#ddd'/><text x='" << x(tick) - 8 << "' y='490'>" << tick << "</text>\n";
        for (const double tick : { 1.0, 1.5, 2.0, 2.5 })
            out << "<line x1='65' x2='720' y1='" << y(tick) << "' y2='" << y(tick) << "' stroke='#ddd'/><text x='35' y='" << y(tick) + 4 << "'>" << tick << "</text>\n";
        const std::vector<std::string> colours { "#1b6ca8", "#c0392b", "#27ae60", "#8e44ad", "#d68910" };
        std::vector<std::string> workloads;
        for (const auto& point : points) {
            auto known = std::find(workloads.begin(), workloads.end(), point.workload);
            if (known == workloads.end())
                known = workloads.insert(workloads.end(), point.workload);
            const auto colour = colours[static_cast<std::size_t>(known - workloads.begin()) % colours.size()];
            out << "<circle cx='" << x(point.moved) << "' cy='" << y(point.p99) << "' r='4' fill='" << colour << "'/><text x='" << x(point.moved) + 6 << "' y='" << y(point.p99) + 4 << "' fill='" << colour << "'>" << point.name << "</text>\n";
        }
        for (std::size_t i = 0; i < workloads.size(); ++i)
            out << "<text x='770' y='" << 60 + 18 * i << "' fill='" << colours[i % colours.size()] << "'>" << workloads[i] << "</text>\n";
        out << "</svg>\n";
    }

} // namespace

int benchSkew(const bench_flags& flags)
{
    const std::size_t intervals = flags.quick ? 60 : 400;
    const auto agency = rebalance_settings::make(4, 1);
    const auto plakanet = rebalance_settings::make(1, 4);
    const std::vector<contender> contenders {
        { "static", "static", {}, false, false },
        { "full", "full", {}, false, false },
        { "oracle", "full", {}, false, true },
        { "agency_last_counts", "few_moves", agency, false, false },
        { "agency", "few_moves", agency, true, false },
        { "even", "few_moves", rebalance_settings::make(1, 1), true, false },
        { "plakanet", "few_moves", plakanet, true, false },
    };
    std::cout << describeRun(flags) << " ranks=" << ranks << " slots=" << slots << " experts=" << experts << " layers=" << layers << " intervals=" << intervals << "\n";
    std::vector<front_point> points;
    for (const std::string workload : { "diurnal", "month_end", "flash", "zipf", "straggler" }) {
        for (const auto& who : contenders) {
            const auto figures = runContender(who, workload, flags.seed, intervals);
            const double moved = figures.moved / static_cast<double>(layers * intervals);
            const double p99 = percentile(figures.skews, 0.99);
            std::cout << "workload=" << workload << " policy=" << who.name << " skew_mean=" << mean(figures.skews) << " skew_p50=" << percentile(figures.skews, 0.5)
                      << " skew_p99=" << p99 << " weights_moved_per_layer_interval=" << moved << " decision_ms_60_layers=" << 60 * figures.decisionMs / static_cast<double>(figures.decisions) << std::endl;
            points.push_back({ workload, who.name, moved, p99 });
        }
    }
    if (!flags.plot.empty())
        writePlot(flags.plot, points);
    return 0;
}

} // namespace rampgap::bench
