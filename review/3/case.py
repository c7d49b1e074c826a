"""A backend repeats some of its rejections late.

A full backend rejects a request with 503 and Sedgetide-Not-Executed. For at
most three in a hundred of its answers a faulty one sends the same answer once
more, late: at the point where the next response on the connection is
expected. Its id names the request that it was made for.
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
SECONDS = 60
BURST = 16
GAP = 0.2
HOSTS = 8
BACKENDS = 4
WORK_MS = 40


class RepeatingBackend(lab.Backend):
    """Sends a few of its rejections twice, the second time late."""

    def __init__(self, *arguments, **options):
        super().__init__(*arguments, **options)
        self.spells = lab.Spells()
        self._owed = {}

    async def before_request(self, writer, start, headers):
        extra = self._owed.pop(writer, None)
        if extra is None:
            return
        number = headers.get("sedgetide-request-id")
        self.record.note(
            f"{self.name} repeats its rejection of {extra[0]} "
            f"before it answers {number}"
        )
        writer.write(extra[1])
        await writer.drain()

    async def send(self, writer, answer, start, headers):
        data = lab.format_answer(*answer)
        writer.write(data)
        await writer.drain()
        if TROUBLE and self.spells.may_garble(answer[0] == 503):
            self._owed[writer] = headers["sedgetide-request-id"], data


async def play(record):
    """Return whether the case could run, and the replies and backends."""
    deployment = lab.Deployment(record)
    try:
        for number in range(BACKENDS):
            # The site's dose is 0.6 of the backends; here it is half.
            kind = RepeatingBackend if number % 2 else lab.Backend
            deployment.add_backend(
                kind, f"i-{number}", "ledger", keyed=True, queue=2
            )
        for number in range(HOSTS):
            deployment.add_host(f"host-{number + 1}")
        ready = await deployment.start(
            [
                [
                    "accept",
                    lab.HOST,
                    "/accept/",
                    "unsafe",
                    1200,
                    800,
                    2,
                    1,
                    "ledger",
                ]
            ],
            [["ledger", True, 51]],
        )
        if not ready:
            return None
        await asyncio.sleep(3.0)
        for backend in deployment.backends:
            if isinstance(backend, RepeatingBackend):
                backend.spells.begin()
        replies = await send_bursts(deployment, record)
        # A request that was sent runs to its end.
        await asyncio.sleep(2.5)
        return replies, deployment.backends
    finally:
        await deployment.close()


async def send_bursts(deployment, record):
    rng = random.Random(60)
    tasks = []
    end = time.monotonic() + SECONDS
    count = 0
    while time.monotonic() < end:
        for _ in range(BURST):
            count += 1
            host = rng.choice(deployment.hosts)
            tasks.append(
                asyncio.create_task(
                    lab.ask(
                        host.port,
                        "POST",
                        f"/accept/{count}?work={WORK_MS}",
                        f"{count:016x}",
                        2000,
                        record,
                        key=rng.randrange(lab.KEYS),
                        body=b"x" * 200,
                    )
                )
            )
        await asyncio.sleep(GAP)
    return await asyncio.gather(*tasks)


def main():
    record = lab.Record()
    played = asyncio.run(play(record))
    if played is None:
        record.note("the hosts did not become ready")
        record.write(FOLDER / "record.txt")
        return 2
    replies, backends = played
    refused, twice = lab.judge_unsafe(replies, backends, record)
    answers = sum(each.answers for each in backends)
    rejected = sum(len(each.rejected) for each in backends)
    repeated = sum(
        each.spells.garbled
        for each in backends
        if isinstance(each, RepeatingBackend)
    )
    summary = (
        f"{len(replies)} requests, {sum(e.status == 200 for e in replies)} "
        f"answered 200, {sum(e.status == 503 for e in replies)} answered 503; "
        f"backends gave {answers} answers, {rejected} rejections, "
        f"{repeated} of them sent twice; REFUSED {len(refused)}, "
        f"TWICE {len(twice)}"
    )
    record.note(summary)
    record.write(FOLDER / "record.txt")
    print(summary)
    return 1 if refused or twice else 0


if __name__ == "__main__":
    lab.run_case(main)
