"""A machine is stopped, as planned, while requests wait on it for a key."""

import asyncio
import pathlib
import random
import signal
import sys
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import lab2

FOLDER = pathlib.Path(__file__).resolve().parent
# As on fumi-nord: more machines than four for each slot of a backend.
MACHINES = 9
BACKENDS = 12
SLOTS = 2
WORK = 0.21
# Requests a second for all keys, over new connections.
RATE = 20
# An alert goes to this many receivers at once, each of these seconds; all ask
# for one key, on connections that their senders keep. That is all that the
# backend of the key can serve.
ALERTS = 38
EVERY = 4.0
BUSY_KEY = 7
# How many of the senders' connections lead to the machine that is stopped.
SHARE = 13
DEADLINE = 4.0
GRACE = 6.0
SLACK = 0.2
# Seconds of traffic until the SIGTERM, so many after the start of an alert.
ROUNDS = 5
STOP_AT = EVERY * ROUNDS - 2.6
# Seconds after SIGTERM until the platform sends no new connection: two misses
# of a readiness probe each second.
ROTATION = 2.0


def play(fleet, note):
    time.sleep(0.5)
    for number in range(BACKENDS):
        fleet.start_backend(
            f"i-{number}",
            "mappa-fumi",
            f"zone-{number % 3}",
            slots=SLOTS,
            work=WORK,
            heartbeat=0.87,
            keyed=True,
        )
    hosts = [
        fleet.start_host(
            f"front-{number}", f"zone-{number % 3}", f"127.0.1.{number + 1}"
        )
        for number in range(MACHINES)
    ]
    fleet.configure(
        7,
        [("alert-send", "/alert/", "unsafe", "mappa-fumi")],
        {"mappa-fumi": True},
        timeout=int(DEADLINE * 1000),
        target=600,
    )
    fleet.wait_ready()
    return asyncio.run(drive(fleet, hosts, note))


async def drive(fleet, hosts, note):
    await asyncio.sleep(5.0)
    stopped = hosts[3]
    tasks = []
    others = [each for each in hosts if each is not stopped]
    places = [stopped] * SHARE
    places += [others[each % len(others)] for each in range(ALERTS - SHARE)]
    random.Random(7).shuffle(places)
    began = time.monotonic()
    stop_at = began + STOP_AT
    senders = [
        asyncio.ensure_future(alert(host, place, began, tasks))
        for place, host in enumerate(places)
    ]
    number = 0
    while (now := time.monotonic()) < stop_at + GRACE:
        if now >= stop_at and lab2.TROUBLE and not stopped.told:
            note(f"SIGTERM to {stopped.name}")
            stopped.signal(signal.SIGTERM)
            stopped.told = True
            loop = asyncio.get_running_loop()
            loop.call_later(GRACE, stopped.signal, signal.SIGKILL)
        number += 1
        host = hosts[number % len(hosts)]
        if host is stopped and now > stop_at + ROTATION:
            host = hosts[0]
        key = number * 977 % 65536
        tasks.append(start(host, f"/alert/{number}", key))
        await asyncio.sleep(1 / RATE)
    await asyncio.gather(*senders)
    answers = await asyncio.gather(*tasks)
    await asyncio.sleep(1.0)
    return judge(fleet, answers, stopped, stop_at, note)


def start(host, target, key, kept=None):
    return asyncio.ensure_future(
        lab2.send(
            host, target, "POST", DEADLINE, body=b"alert", key=key, kept=kept
        )
    )


async def alert(host, place, began, tasks):
    """Send each alert to one receiver, on a connection that is kept."""
    kept = await lab2.open_kept(host)
    for turn in range(1, ROUNDS + 1):
        at = began + EVERY * turn + 0.005 * place
        await asyncio.sleep(at - time.monotonic())
        if kept[0].at_eof():
            kept = await lab2.open_kept(host)
        task = start(host, f"/alert/{turn}-{place}", BUSY_KEY, kept)
        tasks.append(task)
        answer = await asyncio.wait_for(asyncio.shield(task), DEADLINE + 1)
        if not answer.status or "close" in answer.headers.get(
            "connection", ""
        ):
            kept[1].close()
            if turn < ROUNDS:
                kept = await lab2.open_kept(host)


def read_runs(events):
    """Return when each request began and ended at a backend."""
    runs = {}
    for each in events:
        if each["event"] in ("begins", "ends"):
            runs.setdefault(each["request"], {})[each["event"]] = each["at"]
    return runs


def judge(fleet, answers, stopped, stop_at, note):
    runs = read_runs(fleet.read_events())
    note(f"{len(answers)} sent; {lab2.count(answers)}")
    mine = [
        each
        for each in answers
        if each.host == stopped.name and each.began >= stop_at - DEADLINE
    ]
    note(
        f"{len(mine)} of them to {stopped.name} from {DEADLINE} s before its "
        f"SIGTERM on; {lab2.count(mine)}"
    )
    broken = 0
    for each in mine:
        since, held = each.began - stop_at, each.ended - each.began
        run = runs.get(each.number, {})
        where = "was at a backend" if run else "was never at a backend"
        text = (
            f"sent {since:+.2f} s from SIGTERM, ended after {held:.2f} s of "
            f"{DEADLINE} s: {each.describe()}; {where}"
        )
        if each.how in ("", "no answer in time"):
            note(text)
            continue
        # Not counted: still at work in the last sixth of the grace.
        end = run.get("ends", each.ended)
        at_work = bool(run) and end >= stop_at + GRACE * 5 / 6
        counts = not at_work and SLACK < held < DEADLINE
        broken += counts
        note(f"{'LOST' if counts else 'not counted'}: {text}")
    note(
        f"{broken} requests were read, had time left, were at no backend, and "
        "ended without an answer; none may"
    )
    return broken == 0


if __name__ == "__main__":
    raise SystemExit(lab2.run_case(FOLDER, play))
