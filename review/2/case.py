#!/usr/bin/env python3
"""Engines send a few of their answers twice; the second copy comes where the answer to the next request is expected.

Starts six entry processes with the command of the deploy file before stand-ins of the store and of ten engines of a plain
service, which reject requests while they are full. Clients ask for streams on a route that is not `resumable`, so that each
request may run once at most. Writes record.txt beside this file. Exit code: 1 rule broken, 0 held, 2 could not run. TROUBLE=0: the
same, and no answer comes twice.
"""
import asyncio
import os
import random
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
import standin  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
# `garble` of the site: a share of 0.6 of the engines, x 0.03 of their answers, for 5 s; then a pause.
ENGINES, GARBLING_ENGINES, EXTRA_PART, GARBLE_S, PAUSE_S = 10, 6, 0.03, 5.0, 1.0
CAPACITY, EVENTS, EVENT_S = 2, 12, 0.02
WARM_UP_S, TRAFFIC_S, INTERVAL_S, DEADLINE_S = 3.0, 88.0, 0.014, 4.0
PROMISES = ("408", "421", "429", "503")


class Engine(standin.Engine):
    """A plain engine with a few places: a request beyond them is answered 503 with X-Not-Executed, and has not run."""

    garbles, case, random = False, None, None

    def __init__(self, record, group=None, rank=0):
        super().__init__(record, group, rank)
        self.running, self.extra = 0, {}

    async def answer(self, line, headers, body, writer):
        target, request_id = line.split(" ")[1], headers.get("x-attempt-id")
        if target.startswith("/api/"):
            return await super().answer(line, headers, body, writer)
        # The second copy of the answer before, where the answer to this request is expected.
        of, copy = self.extra.pop(writer, (None, None))
        if copy:
            self.case.write(f"engine {self.id} got {request_id} and sends its answer to {of} once more")
            writer.write(copy)
            await writer.drain()
        if headers.get("x-expected-instance") != self.id:
            return await self.send(writer, request_id, standin.response(421, headers={"X-Attempt-Id": request_id}))
        if self.running >= CAPACITY:
            self.case.rejected += 1
            return await self.send(writer, request_id, standin.response(503, headers={"X-Not-Executed": "1", "X-Attempt-Id": request_id}))
        self.record.record_run(self.id, *line.split(" ")[:2], headers, body)
        self.case.write(f"engine {self.id} runs {request_id}")
        self.running += 1
        try:
            return await self.stream(request_id, writer)
        finally:
            self.running -= 1

    async def send(self, writer, request_id, answer):
        if self.garbles and self.random.random() < EXTRA_PART:
            self.extra[writer] = request_id, answer
        writer.write(answer)
        await writer.drain()
        return True

    async def stream(self, request_id, writer):
        head = f"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\nX-Attempt-Id: {request_id}\r\n" \
               f"{standin.SIGNATURE}: {self.id}\r\n\r\n".encode()
        writer.write(head)
        for number in range(1, EVENTS + 1):
            await asyncio.sleep(EVENT_S)
            event = f"id: {number}\ndata: {request_id}-{number}\n\n".encode()
            writer.write(f"{len(event):x}\r\n".encode() + event + b"\r\n")
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()
        if self.garbles and self.random.random() < EXTRA_PART:
            self.extra[writer] = request_id, head + b"0\r\n\r\n"
        return True


class Case(soak.Soak):
    def __init__(self, arguments):
        super().__init__(arguments)
        self.began, self.rejected, self.outcomes = time.monotonic(), 0, {}
        self.record_file = open(os.path.join(HERE, "record.txt"), "w", encoding="utf-8")

    def write(self, text):
        self.record_file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")

    def routes(self):
        return [{"name": "letter", "host": "h", "path_prefix": "/letter/", "type": "streaming", "service": "plain", "resumable": False, "timeout_ms": 8000,
                 "target_latency_ms": 500, "target_gap_ms": 120, "priority": 1, "max_attempts": 2, "public": False}]

    async def add_engine(self, index, service, group, rank):
        original, soak.Engine = soak.Engine, Engine
        try:
            await super().add_engine(index, service, group, rank)
        finally:
            soak.Engine = original
        engine = self.engines[-1]
        engine.random, engine.case = random.Random(self.arguments.seed * 100 + index), self

    def entry_for(self, engine, state="ready"):
        return super().entry_for(engine, state) | {"capacity": CAPACITY}

    async def request(self, number):
        entry = self.entries[number % len(self.entries)]
        request_id, sent, outcome, writer = f"r{number}", time.monotonic(), "no answer", None
        try:
            reader, writer = await asyncio.wait_for(asyncio.open_connection(entry.host, self.ports["front"]), 1)
            body = b"a letter"
            writer.write(f"POST /letter/{request_id} HTTP/1.1\r\nHost: h\r\nX-Attempt-Id: {request_id}\r\nX-Key: {self.keys[0]}\r\n"
                         f"X-Deadline-Ms: {int(DEADLINE_S * 1000)}\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body)
            message = await asyncio.wait_for(standin.read_message(reader), DEADLINE_S)
            outcome = message[0].split(" ")[1] if message else "closed without an answer"
            if outcome == "200":
                await asyncio.wait_for(self.read_chunks(reader), DEADLINE_S)
        except asyncio.TimeoutError:
            pass
        except (OSError, asyncio.IncompleteReadError, ValueError) as error:
            outcome += f", broken off: {type(error).__name__}"
        finally:
            if writer:
                writer.close()
        self.outcomes[request_id] = outcome
        self.write(f"request {request_id} sent={sent - self.began:.3f} outcome={outcome}")

    async def garble(self):
        while True:
            for engine in self.engines[:GARBLING_ENGINES]:
                engine.garbles = TROUBLE
            self.write(f"six of ten engines send {EXTRA_PART} of their answers twice: {TROUBLE}")
            await asyncio.sleep(GARBLE_S)
            for engine in self.engines:
                engine.garbles = False
            await asyncio.sleep(PAUSE_S)

    async def play(self):
        # Ended from outside, it still ends all processes that it started.
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        await self.start(self.arguments.logs)
        await asyncio.sleep(WARM_UP_S)
        garble = asyncio.create_task(self.garble())
        requests, until, number = [], time.monotonic() + TRAFFIC_S, 0
        try:
            while time.monotonic() < until:
                number += 1
                requests.append(asyncio.create_task(self.request(number)))
                await asyncio.sleep(INTERVAL_S)
            garble.cancel()
            await asyncio.gather(*requests)
        finally:
            ended = self.ended_processes()
            self.kill_processes()
            await asyncio.gather(*(process.child.wait() for process in self.entries + self.agents if process.child))
            asyncio.get_running_loop().set_exception_handler(lambda *_: None)
        return self.judge(ended)

    def judge(self, ended):
        twice = {request: [run[1] for run in runs] for request, runs in self.record.runs.items() if len(runs) > 1}
        refused = [request for request, outcome in self.outcomes.items() if outcome in PROMISES and request in self.record.runs]
        served = sum(outcome == "200" for outcome in self.outcomes.values())
        for request, engines in twice.items():
            self.write(f"TWICE broken: {request} ran at {engines}, its client got {self.outcomes[request]}")
        for request in refused:
            self.write(f"REFUSED broken: {request} was answered {self.outcomes[request]} and has run at {[run[1] for run in self.record.runs[request]]}")
        summary = f"requests={len(self.outcomes)} served={served} rejected by engines={self.rejected} ran twice={len(twice)} refused though run={len(refused)} ended processes={ended}"
        self.write(summary)
        print(summary)
        if served < 0.5 * len(self.outcomes) or ended:
            return 2
        return 1 if twice or refused else 0


def main():
    with open(os.path.join(ROOT, "deploy", "system.toml"), "rb") as file:
        program = shlex.split(tomllib.load(file)["roles"]["entry"]["run"])[0]
    if not os.path.exists(os.path.join(ROOT, program)):
        print("the programs are not built: run the line build of deploy/system.toml")
        return 2
    with tempfile.TemporaryDirectory() as folder:
        arguments = soak.make_parser(__doc__).parse_args(["--programs", os.path.join(ROOT, os.path.dirname(program)), "--groups", "0", "--plain", str(ENGINES),
                                                          "--entries", "6", "--seed", os.environ.get("SEED", "1"), "--logs", folder])
        os.chdir(ROOT)
        return asyncio.run(Case(arguments).play())


if __name__ == "__main__":
    try:
        sys.exit(main())
    except (OSError, asyncio.CancelledError) as error:
        print(f"could not run: {error!r}")
        sys.exit(2)
