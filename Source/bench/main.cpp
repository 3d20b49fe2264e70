// rampgap-bench: measures what rampgap does and what it costs.

#include "bench/bench_flags.h"
#include "bench/benchmarks.h"

#include <functional>
#include <iostream>
#include <map>

int main(int argc, char** argv)
{
    using namespace rampgap::bench;
    bench_flags flags;
    if (const auto code = parseBenchFlags(argc, argv, flags))
        return *code;
    static const std::map<std::string, std::function<int(const bench_flags&)>> benchmarks {
        { "hop", benchHop },
        { "routing", benchRouting },
        { "overload", benchOverload },
        { "skew", benchSkew },
        { "config", benchConfig },
        { "control", benchControl },
        { "relay", benchRelay },
        { "group", benchGroup },
        { "compare", benchCompare },
    };
    const auto found = benchmarks.find(flags.benchmark);
    if (found == benchmarks.end()) {
        std::cerr << "rampgap-bench: no benchmark named '" << flags.benchmark << "'; try --help\n";
        return 2;
    }
    return found->second(flags);
}
