#!/usr/bin/env python3
"""What Utilities/day-figures.py counts as in time, late, refused and failed, and when."""
import json
import os
import subprocess
import sys
import tempfile
import unittest

PROGRAM = os.path.join(os.path.dirname(os.path.abspath(__file__)), "..", "..", "Utilities", "day-figures.py")


def answered(time_ms, waited, took, first, pause):
    return f"  1.0 e1 time_ms={time_ms} process=e1 n=1 event=try_ended request=r waited_ms={waited} took_ms={took} " \
           f"events=3 first_ms={first} longest_pause_ms={pause} outcome=answered\n"


def failed(time_ms, service, verdict):
    return f"time_ms={time_ms} process=e1 n=2 event=request_failed request=r service={service} age_ms=100 verdict={verdict} detail=\"no room\"\n"


def figures(log, *flags):
    with tempfile.NamedTemporaryFile("w", suffix=".log") as file:
        file.write(log)
        file.flush()
        return subprocess.run([sys.executable, PROGRAM, file.name, *flags], capture_output=True, text=True, check=False)


class DayFigures(unittest.TestCase):
    def test_streams_are_counted_by_the_second_in_which_their_callers_came(self):
        log = answered(1500, 100, 400, 100, 50) + answered(2400, 0, 300, 600, 50) + answered(2500, 0, 300, 100, 200) \
            + failed(2600, "model", "not_run") + failed(2700, "model", "may_have_run") + failed(2800, "plain", "not_run")
        found = json.loads(figures(log, "--service", "model").stdout)
        self.assertEqual({"in_time": 1, "late": 2, "refused": 1, "failed": 1}, {kind: found[kind] for kind in ("in_time", "late", "refused", "failed")})
        self.assertEqual([[0, 1, 0, 0, 0], [1, 0, 2, 1, 1]], found["seconds"])
        self.assertEqual(100, found["first_event_p50_ms"])
        self.assertEqual(200, found["longest_gap_p99_ms"])

    def test_a_span_leaves_out_the_others(self):
        log = answered(1500, 0, 500, 100, 50) + answered(2500, 0, 300, 100, 50)
        self.assertEqual(1, json.loads(figures(log, "--from", "1").stdout)["callers"])

    def test_logs_without_an_answered_stream_are_an_error(self):
        run = figures(failed(2600, "model", "not_run"))
        self.assertEqual(1, run.returncode)
        self.assertIn("give those of all entry VMs", run.stderr)


if __name__ == "__main__":
    unittest.main()
