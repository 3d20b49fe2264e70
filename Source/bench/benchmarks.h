// The benchmarks; each prints its figures and returns an exit code.
#pragma once

namespace rampgap::bench {

struct bench_flags;

int benchHop(const bench_flags&);
int benchRouting(const bench_flags&);
int benchOverload(const bench_flags&);
int benchSkew(const bench_flags&);
int benchConfig(const bench_flags&);
int benchControl(const bench_flags&);
int benchRelay(const bench_flags&);
int benchGroup(const bench_flags&);
int benchCompare(const bench_flags&);

} // namespace rampgap::bench
