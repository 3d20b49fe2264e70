#!/usr/bin/env python3
"""An agent takes over a group's leadership while its own engine begins to drain.

Starts seven entry processes and twelve agents with the commands of the deploy file before stand-ins of the store and of four
groups of three model engines. Round by round, two machines of one group stand still for 1.4 s, one of them the leader's, and the
third one's engine reports `draining` meanwhile. Writes record.txt beside this file. Exit code: 1 rule broken, 0 held, 2 could not
run. TROUBLE=0: the same drains, and no machine stands still.
"""
import asyncio
import collections
import os
import shlex
import signal
import sys
import tempfile
import time
import tomllib

HERE = os.path.dirname(os.path.abspath(__file__))
ROOT = os.path.dirname(os.path.dirname(HERE))
sys.dont_write_bytecode = True
sys.path.insert(0, os.path.join(ROOT, "platform", "soak"))

import soak  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
ENTRIES, GROUPS, RANKS = 7, 4, 3
# The groups that are disturbed, in turn.
DISTURBED_GROUPS = 2
# node_freeze of the site: a share of 0.11 of the machines (two of nineteen) for 3.5 s.
FREEZE_S = 1.4
# The drain is written this long after the machines stand still.
DRAIN_AT_S = 0.94
# drain_ms, and how much longer the engine goes on; then it ends, and another one starts in its place.
DRAIN_S, LINGER_S, RESTART_S = 2.0, 0.3, 0.5
WARM_UP_S, RUN_S, ROUND_S = 4.0, 104.0, 2.1
# The rule: on a tenth of the machines in use (two at least) processes end by themselves three times.
MIN_ENDS, MIN_MACHINES = 3, 2
# An end within this time of a disruption on the same machine does not count.
EXCUSED_S = 1.0


class Case(soak.Soak):
    def __init__(self, arguments):
        super().__init__(arguments)
        self.began = time.monotonic()
        self.record_file = open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8")
        self.ends, self.disturbed = collections.Counter(), {}
        self.finished = False

    def write(self, text):
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    async def add_engine(self, index, service, group, rank):
        await super().add_engine(index, service, group, rank)
        engine = self.engines[-1]
        self.store.remove("servers/" + engine.id)
        engine.number, engine.prefix = 1, f"i-{index:02d}"
        self.start_engine(engine)

    def start_engine(self, engine):
        """A new incarnation has a new id; the ranks of its group then begin a new epoch."""
        engine.id = f"{engine.prefix}-{engine.number:04d}"
        engine.number += 1
        self.list_engine(engine)

    async def drain(self, engine):
        self.write(f"engine {engine.id} of group {engine.group.name} reports draining")
        self.list_engine(engine, "draining")
        await asyncio.sleep(DRAIN_S + LINGER_S)
        engine.proxy.reset()
        self.store.remove("servers/" + engine.id)
        await asyncio.sleep(RESTART_S)
        engine.group.reopen()
        self.start_engine(engine)
        self.write(f"engine {engine.id} of group {engine.group.name} has started in its place")

    async def watch(self, number):
        """Starts an agent again that has ended, as the platform does, and counts its ends."""
        agent = self.agents[number]
        while True:
            code = await agent.child.wait()
            if self.finished:
                return
            excused = self.disturbed.get(number, -10.0) + EXCUSED_S > time.monotonic()
            self.ends[number] += 0 if excused else 1
            self.write(f"agent {number} ended by itself with exit code {code}{', excused' if excused else ''}")
            await asyncio.sleep(0.5)
            await agent.start()

    async def round(self, group):
        first = group * RANKS
        frozen = (first, first + 2) if TROUBLE else ()
        for number in frozen:
            self.write(f"machine of agent {number} stands still")
            self.agents[number].send(signal.SIGSTOP)
        await asyncio.sleep(DRAIN_AT_S)
        self.spawn(self.drain(self.engines[first + 1]))
        await asyncio.sleep(FREEZE_S - DRAIN_AT_S)
        for number in frozen:
            self.agents[number].send(signal.SIGCONT)
            self.disturbed[number] = time.monotonic()
            self.write(f"machine of agent {number} runs again")

    async def play(self):
        # Ended from outside, it still ends all processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        await self.start(self.arguments.logs)
        stepping = [asyncio.create_task(group.run()) for group in self.groups]
        watching = [asyncio.create_task(self.watch(number)) for number in range(len(self.agents))]
        await asyncio.sleep(WARM_UP_S)
        count = 0
        try:
            while time.monotonic() - self.began < RUN_S:
                begin = time.monotonic()
                await self.round(count % DISTURBED_GROUPS)
                count += 1
                await asyncio.sleep(max(0.0, begin + ROUND_S - time.monotonic()))
        finally:
            self.finished = True
            for task in stepping + watching:
                task.cancel()
            self.kill_processes()
            await asyncio.gather(*(process.child.wait() for process in self.entries + self.agents if process.child))
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        machines = sum(ends >= MIN_ENDS for ends in self.ends.values())
        summary = f"rounds={count} processes ended by themselves={sum(self.ends.values())}, by machine={dict(sorted(self.ends.items()))}; machines with {MIN_ENDS} or more={machines}"
        self.write(summary)
        broken = machines >= MIN_MACHINES
        self.write("Fault rule broken" if broken else "Fault rule held")
        print(summary)
        return 1 if broken else 0


def main():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        program = shlex.split(tomllib.load(file)["roles"]["agent"]["run"])[0]
    if not os.path.exists(os.path.join(ROOT, program)):
        print("the programs are not built: run the line build of deploy/system.toml")
        return 2
    with tempfile.TemporaryDirectory() as folder:
        arguments = soak.make_parser(__doc__).parse_args(["--programs", os.path.join(ROOT, os.path.dirname(program)), "--groups", str(GROUPS), "--plain", "0",
                                                          "--entries", str(ENTRIES), "--seed", os.environ.get("SEED", "1"), "--logs", folder])
        os.chdir(ROOT)
        return asyncio.run(Case(arguments).play())


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (OSError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
