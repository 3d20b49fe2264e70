#!/usr/bin/env python3
"""Plays the same days and seeds with several builds and compares them in pairs.

    Utilities/compare-plays.py --player PROGRAM --site FILE --days DAY[,DAY...]
        [--seeds N[,N...]] [--at-once 2] [--jobs 1] --tree NAME=PATH [--tree NAME=PATH ...]

The first tree is what the others are compared with. Each play is run in its tree with
"PROGRAM run FILE DAY", leaves its entry in the journal of that tree, and is not played again
if an entry of the same sources, site, day and seed is there: after a stop the command goes on
where it was. Entries are copied into the journal of the repository that this script is in.
Exit codes: 0 done, 1 a play failed, 2 wrong flags.
"""
import argparse
import concurrent.futures
import glob
import json
import math
import os
import shutil
import subprocess
import sys

OWN_TREE = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
PRICE_DIGITS = 4


def parse_flags():
    parser = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    parser.add_argument("--player", required=True, help="the program that plays days")
    parser.add_argument("--site", required=True, help="the site file")
    parser.add_argument("--days", required=True, type=lambda text: text.split(","))
    parser.add_argument("--seeds", default=[None], type=lambda text: text.split(","), help="default: the day's own seed")
    parser.add_argument("--at-once", type=int, default=2, help="plays at the same time")
    parser.add_argument("--why", default="comparison", help="goes into the journal")
    parser.add_argument("--tree", action="append", required=True, metavar="NAME=PATH")
    flags = parser.parse_args()
    flags.player = os.path.abspath(flags.player)
    flags.site = os.path.abspath(flags.site)
    try:
        flags.trees = [tuple(tree.split("=", 1)) for tree in flags.tree]
        flags.trees = [(name, os.path.abspath(path)) for name, path in flags.trees]
    except ValueError:
        parser.error("--tree is NAME=PATH")
    return flags


def head_of(tree):
    return subprocess.run(["git", "-C", tree, "rev-parse", "HEAD"], capture_output=True, text=True, check=True).stdout.strip()


def entries_of(tree):
    for path in sorted(glob.glob(os.path.join(tree, "journal", "*.json"))):
        with open(path, encoding="utf-8") as file:
            try:
                yield path, json.load(file)
            except json.JSONDecodeError as error:
                print(f"{path}: {error}", file=sys.stderr)


def find_play(tree, head, site, day, seed):
    """The newest whole play of these sources, as (path, day record); None if there is none."""
    found = None
    for path, entry in entries_of(tree):
        if entry.get("head") != head or entry.get("dirty") or entry.get("cmd") != "run":
            continue
        if entry.get("site") != os.path.splitext(os.path.basename(site))[0]:
            continue
        argv = entry.get("argv", [])
        limited = "--until" in argv or "--small" in argv or "--no-cpu" in argv
        if limited or not entry.get("days"):
            continue
        record = entry["days"][0]
        same_seed = seed is None and "--seed" not in argv or seed is not None and str(record.get("seed")) == seed
        if record.get("name") == day and same_seed:
            found = (path, record)
    return found


def play(flags, name, tree, day, seed):
    head = head_of(tree)
    held = find_play(tree, head, flags.site, day, seed)
    if not held:
        command = [flags.player, "run", os.path.relpath(flags.site, tree), day, "--jobs", "1", "--why", f"{flags.why}: {name}"]
        if seed is not None:
            command += ["--seed", seed]
        done = subprocess.run(command, cwd=tree, capture_output=True, text=True)
        held = find_play(tree, head, flags.site, day, seed)
        if not held:
            raise RuntimeError(f"{name} {day} {seed}: no result\n{done.stdout[-2000:]}{done.stderr[-2000:]}")
    keep_entry(held[0])
    print(f"{name:12} {day:10} seed {seed or 'own':10} worth {held[1]['G']:.3f} served {held[1]['served']:.3f} rules {held[1]['rules']}", flush=True)
    return held[1]


def keep_entry(path):
    own = os.path.join(OWN_TREE, "journal", os.path.basename(path))
    if not os.path.exists(own):
        shutil.copy(path, own)
    blobs = os.path.join(os.path.dirname(path), "blobs")
    for blob in os.listdir(blobs) if os.path.isdir(blobs) else []:
        target = os.path.join(OWN_TREE, "journal", "blobs", blob)
        if not os.path.exists(target):
            os.makedirs(os.path.dirname(target), exist_ok=True)
            shutil.copy(os.path.join(blobs, blob), target)


def summarize(flags, results):
    base = flags.trees[0][0]
    for name, _ in flags.trees:
        worths = [results[name, case]["G"] for case in results["cases"]]
        line = f"{name:12} mean worth {sum(worths) / len(worths):.4f}"
        if name != base:
            differences = [results[name, case]["G"] - results[base, case]["G"] for case in results["cases"]]
            mean = sum(differences) / len(differences)
            line += f"  difference {mean:+.4f}"
            if len(differences) > 1:
                spread = math.sqrt(sum((d - mean) ** 2 for d in differences) / (len(differences) - 1) / len(differences))
                line += f" ± {2 * spread:.4f}" + ("" if abs(mean) > 2 * spread else ": no difference shown")
        print(line)


def main():
    flags = parse_flags()
    cases = [(day, seed) for day in flags.days for seed in flags.seeds]
    results = {"cases": cases}
    # The trees are built before the plays, so that no build runs beside one.
    for _, tree in flags.trees:
        subprocess.run([flags.player, "build"], cwd=tree, check=True, stdout=subprocess.DEVNULL)
    with concurrent.futures.ThreadPoolExecutor(flags.at_once) as pool:
        plays = {pool.submit(play, flags, name, tree, *case): (name, case) for case in cases for name, tree in flags.trees}
        for done in concurrent.futures.as_completed(plays):
            try:
                results[plays[done]] = done.result()
            except RuntimeError as error:
                print(error, file=sys.stderr)
                return 1
    summarize(flags, results)
    return 0


if __name__ == "__main__":
    sys.exit(main())
