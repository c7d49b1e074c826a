"""A backend crashes and starts again at once under its id.

It knows nothing of before. Its keys may go to its new life only at a fencing
token above that of its former life.
"""

import asyncio
import os
import pathlib
import random
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import lab  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HOSTS = 3
BACKENDS = 8
SECONDS = 60
PER_SECOND = 80
WORK_MS = 100
# Seconds from the crash to the next start.
DOWN = 0.25
# Seconds from the start to the first entry; entries are written every
# `heartbeat-ms`, 1.5 s on this site.
BEAT_AFTER = 1.4
INTERVAL = 5.0


class HoldingBackend(lab.Backend):
    """Records at which fences each of its lives has taken keys."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.grants = []

    def note_granted(self, low, high, fence):
        self.grants.append((time.monotonic(), self.born, low, high, fence))

    def count_ranges(self):
        now = time.monotonic()
        return len(
            {
                (low, high, fence)
                for at, born, low, high, fence in self.grants
                if born == self.born and now - at < 1.5
            }
        )


async def play(record):
    deployment = lab.Deployment(record)
    try:
        for number in range(BACKENDS):
            deployment.add_backend(
                HoldingBackend,
                f"i-{number}",
                "ledger",
                keyed=True,
                slots=4,
                queue=16,
            )
        for number in range(HOSTS):
            deployment.add_host(f"host-{number + 1}")
        ready = await deployment.start(
            [
                [
                    "weight",
                    lab.HOST,
                    "/weight/",
                    "safe",
                    1500,
                    600,
                    2,
                    2,
                    "ledger",
                ]
            ],
            [["ledger", True, 51]],
        )
        if not ready:
            return None
        await asyncio.sleep(3.0)
        load = asyncio.create_task(send_requests(deployment, record))
        await asyncio.sleep(12.0)
        await crash_in_turn(deployment, record)
        load.cancel()
        return deployment.backends
    finally:
        await deployment.close()


async def crash_in_turn(deployment, record):
    rng = random.Random(4)
    end = time.monotonic() + SECONDS
    while time.monotonic() < end:
        backend = max(deployment.backends, key=lambda e: e.count_ranges())
        record.note(f"{backend.name} holds {backend.count_ranges()} ranges")
        if TROUBLE:
            await backend.crash()
            await asyncio.sleep(DOWN)
            await backend.restart(BEAT_AFTER)
        await asyncio.sleep(INTERVAL + rng.random())


async def send_requests(deployment, record):
    rng = random.Random(75)
    count = 0
    tasks = set()
    while True:
        count += 1
        host = rng.choice(deployment.hosts)
        # Busy keys lie close together.
        key = (
            rng.randrange(2000)
            if rng.random() < 0.5
            else rng.randrange(lab.KEYS)
        )
        task = asyncio.create_task(
            lab.ask(
                host.port,
                "GET",
                f"/weight/{count}?work={WORK_MS}",
                f"{count:016x}",
                1500,
                record,
                key=key,
            )
        )
        tasks.add(task)
        task.add_done_callback(tasks.discard)
        await asyncio.sleep(rng.expovariate(PER_SECOND))


def judge(backends, record):
    """Return the grants that break OWNER.

    A key moves to another backend, or to another life of the same backend,
    with a higher fencing token.
    """
    highest = [(0, None)] * lab.KEYS
    broken = []
    grants = sorted(
        (at, (backend.name, born), low, high, fence)
        for backend in backends
        for at, born, low, high, fence in backend.grants
    )
    for at, life, low, high, fence in grants:
        former = {
            each
            for each in highest[low:high]
            if each[1] not in (None, life) and each[0] >= fence
        }
        if former:
            broken.append((at, life, low, high - 1, fence, max(former)))
        for key in range(low, high):
            if fence > highest[key][0]:
                highest[key] = fence, life
    for at, life, low, high, fence, before in broken:
        record.lines.append(
            f"{at - record.began:9.4f} OWNER: {life} takes keys {low} to "
            f"{high} at fence {fence}; {before[1]} had some at {before[0]}"
        )
    return broken


def main():
    record = lab.Record()
    backends = asyncio.run(play(record))
    if backends is None:
        record.note("the hosts did not become ready")
        record.write(FOLDER / "record.txt")
        return 2
    broken = judge(backends, record)
    lives = len({each[1] for each in broken})
    starts = len({(b.name, each[1]) for b in backends for each in b.grants})
    summary = (
        f"{len(broken)} grants at a fence that a former life had, at {lives} "
        f"of {starts - BACKENDS} restarted backends"
    )
    record.note(summary)
    record.write(FOLDER / "record.txt")
    print(summary)
    return 1 if broken else 0


if __name__ == "__main__":
    lab.run_case(main)
