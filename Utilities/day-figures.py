#!/usr/bin/env python3
"""Works out, from the logs of entry VMs, what `rampgap-bench group` prints of a scenario.

    Utilities/day-figures.py LOG... [--service NAME] [--from SECOND] [--to SECOND] [--target MS] [--gap MS]

Reads the lines of all entry VMs (docs/OPERATIONS.md names the events), also where other text stands before them. Of the
streams whose callers came in the span, counted from the first answered stream, it prints one JSON object: how many were in
time, late, refused and failed, first events and longest gaps in milliseconds, and the same counts by second. First events
are counted at the entry VM: the way to the caller is not in them.
Exit codes: 0 done, 1 no stream was found, 2 wrong flags.
"""
import argparse
import json
import re
import sys

FIELD = re.compile(r'(\w+)=("[^"]*"|\S+)')
KINDS = ("in_time", "late", "refused", "failed")


def parse_flags():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("logs", nargs="+", metavar="LOG")
    parser.add_argument("--from", dest="begin", type=float, default=0.0, help="seconds")
    parser.add_argument("--to", dest="end", type=float, default=float("inf"), help="seconds")
    parser.add_argument("--service", help="of the failures, count those of this service; without it all")
    parser.add_argument("--target", type=float, default=500.0, help="milliseconds until a first event is late")
    parser.add_argument("--gap", type=float, default=150.0, help="milliseconds until a gap makes a stream late")
    return parser.parse_args()


def read(logs):
    events = []
    for log in logs:
        with open(log, encoding="utf-8", errors="replace") as lines:
            events += (dict(FIELD.findall(line)) for line in lines if " event=" in line)
    return events


def streams(events, service, target, gap):
    """Of each stream: when its caller came (ms), its kind, its first event and longest gap (ms, None if unserved)."""
    for event in events:
        at = int(event["time_ms"])
        if event["event"] == "request_failed" and service in (None, event["service"]):
            yield at - int(event["age_ms"]), "refused" if event["verdict"] == "not_run" else "failed", None, None
        elif event["event"] == "try_ended" and event["outcome"] == "answered" and "first_ms" in event:
            first, pause = int(event["first_ms"]), int(event["longest_pause_ms"])
            in_time = first <= target and pause <= gap
            yield at - int(event["waited_ms"]) - int(event["took_ms"]), "in_time" if in_time else "late", first, pause


def percentile(values, part):
    return sorted(values)[min(len(values) - 1, int(part * len(values)))] if values else None


def figures(all_streams, begin, end):
    start = min(came for came, kind, _, _ in all_streams if kind in ("in_time", "late"))
    kept = [(came, *rest) for came, *rest in all_streams if begin <= (came - start) / 1000 < end]
    firsts = [first for _, _, first, _ in kept if first is not None]
    pauses = [pause for _, _, _, pause in kept if pause is not None]
    seconds = {}
    for came, kind, _, _ in kept:
        seconds.setdefault(int((came - start) // 1000), dict.fromkeys(KINDS, 0))[kind] += 1
    counts = {kind: sum(second[kind] for second in seconds.values()) for kind in KINDS}
    return {"callers": len(kept), **counts,
            "first_event_p50_ms": percentile(firsts, 0.5), "first_event_p99_ms": percentile(firsts, 0.99),
            "longest_gap_p50_ms": percentile(pauses, 0.5), "longest_gap_p99_ms": percentile(pauses, 0.99),
            "seconds": [[second, *counts.values()] for second, counts in sorted(seconds.items())]}


def main():
    flags = parse_flags()
    all_streams = list(streams(read(flags.logs), flags.service, flags.target, flags.gap))
    if not any(kind in ("in_time", "late") for _, kind, _, _ in all_streams):
        print("no answered stream in these logs; give those of all entry VMs of a day", file=sys.stderr)
        return 1
    print(json.dumps(figures(all_streams, flags.begin, flags.end)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
