#include "model/outcome.h"

#include <algorithm>
#include <cstdio>
#include <sstream>

namespace rampgap::model {

namespace {

    constexpr double lateWorth = 0.5;

    double quantile(std::vector<double> values, double part)
    {
        if (values.empty())
            return 0;
        std::sort(values.begin(), values.end());
        const auto index = static_cast<std::size_t>(part * static_cast<double>(values.size()));
        return values[std::min(index, values.size() - 1)];
    }

    std::string line(const char* format, auto... values)
    {
        char text[256];
        std::snprintf(text, sizeof(text), format, values...);
        return text;
    }

} // namespace

second_tally outcome::total() const
{
    second_tally sum;
    for (const auto& each : seconds) {
        sum.in_time += each.in_time;
        sum.late += each.late;
        sum.refused += each.refused;
        sum.failed += each.failed;
    }
    return sum;
}

double outcome::worth() const
{
    const second_tally sum = total();
    return sum.callers() == 0 ? 0 : (sum.in_time + lateWorth * sum.late) / sum.callers();
}

double outcome::unserved() const
{
    const second_tally sum = total();
    return sum.callers() == 0 ? 0 : static_cast<double>(sum.refused + sum.failed) / sum.callers();
}

std::string toTable(const outcome& seen)
{
    std::ostringstream out;
    out << "second  callers  in time     late  refused   failed\n";
    for (std::size_t i = 0; i < seen.seconds.size(); ++i) {
        const second_tally& each = seen.seconds[i];
        out << line("%6zu %8d %8d %8d %8d %8d\n", i, each.callers(), each.in_time, each.late, each.refused, each.failed);
    }
    const second_tally sum = seen.total();
    out << line("all    %8d %8d %8d %8d %8d\n", sum.callers(), sum.in_time, sum.late, sum.refused, sum.failed);
    out << line("worth=%.4f unserved=%.4f first_event_p50_ms=%.0f first_event_p99_ms=%.0f longest_gap_p50_ms=%.0f longest_gap_p99_ms=%.0f\n",
        seen.worth(), seen.unserved(), quantile(seen.firstEventMs, 0.5), quantile(seen.firstEventMs, 0.99), quantile(seen.longestGapMs, 0.5), quantile(seen.longestGapMs, 0.99));
    out << line("placement_changes=%d copies=%d mean_skew=%.2f second_tries=%d\n", seen.placementChanges, seen.copies, seen.meanSkew, seen.secondTries);
    return out.str();
}

std::string toJson(const outcome& seen)
{
    const second_tally sum = seen.total();
    std::ostringstream out;
    out << line("{\"worth\":%.4f,\"unserved\":%.4f,\"callers\":%d,\"in_time\":%d,\"late\":%d,\"refused\":%d,\"failed\":%d,", seen.worth(), seen.unserved(), sum.callers(), sum.in_time, sum.late, sum.refused, sum.failed);
    out << line("\"first_event_p50_ms\":%.0f,\"first_event_p99_ms\":%.0f,\"longest_gap_p50_ms\":%.0f,\"longest_gap_p99_ms\":%.0f,", quantile(seen.firstEventMs, 0.5), quantile(seen.firstEventMs, 0.99), quantile(seen.longestGapMs, 0.5), quantile(seen.longestGapMs, 0.99));
    out << line("\"placement_changes\":%d,\"copies\":%d,\"mean_skew\":%.2f,\"second_tries\":%d,\"seconds\":[", seen.placementChanges, seen.copies, seen.meanSkew, seen.secondTries);
    for (std::size_t i = 0; i < seen.seconds.size(); ++i) {
        const second_tally& each = seen.seconds[i];
        out << (i == 0 ? "" : ",") << line("[%d,%d,%d,%d]", each.in_time, each.late, each.refused, each.failed);
    }
    out << "]}\n";
    return out.str();
}

std::string toSvg(const std::vector<std::pair<std::string, outcome>>& all, const std::vector<double>& marks)
{
    constexpr double width = 900;
    constexpr double left = 60;
    constexpr double height = 180;
    constexpr double top = 30;
    std::ostringstream out;
    out << "<svg xmlns='http://www.w3.org/2000/svg' viewBox='0 0 " << width << ' ' << (height + top) * static_cast<double>(all.size()) + top << "' font-family='sans-serif' font-size='11'>\n<rect width='100%' height='100%' fill='white'/>\n";
    out << "<text x='60' y='16'>callers by the second in which they came: <tspan fill='#27ae60'>in time</tspan>, <tspan fill='#d68910'>late</tspan>, <tspan fill='#c0392b'>not served</tspan></text>\n";
    double y = top;
    for (const auto& [name, seen] : all) {
        int most = 1;
        for (const auto& each : seen.seconds)
            most = std::max(most, each.callers());
        const double bar = (width - 2 * left) / static_cast<double>(std::max<std::size_t>(1, seen.seconds.size()));
        out << "<text x='" << left << "' y='" << y + 12 << "'>" << name << line(": worth %.3f, not served %.4f", seen.worth(), seen.unserved()) << "</text>\n";
        for (std::size_t i = 0; i < seen.seconds.size(); ++i) {
            const second_tally& each = seen.seconds[i];
            const std::pair<int, const char*> parts[] = { { each.in_time, "#27ae60" }, { each.late, "#d68910" }, { each.refused + each.failed, "#c0392b" } };
            double bottom = y + height;
            for (const auto& [count, colour] : parts) {
                const double tall = (height - top) * count / most;
                bottom -= tall;
                out << "<rect x='" << left + bar * static_cast<double>(i) << "' y='" << bottom << "' width='" << bar * 0.9 << "' height='" << tall << "' fill='" << colour << "'/>\n";
            }
        }
        for (const double mark : marks)
            out << "<line x1='" << left + bar * mark / 1'000 << "' x2='" << left + bar * mark / 1'000 << "' y1='" << y + 18 << "' y2='" << y + height << "' stroke='#555' stroke-dasharray='3'/>\n";
        y += height + top;
    }
    out << "</svg>\n";
    return out.str();
}

} // namespace rampgap::model
