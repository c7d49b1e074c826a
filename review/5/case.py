"""A backend that fails part of its work with a 503 that promises nothing."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import lab2

FOLDER = pathlib.Path(__file__).resolve().parent
# One backend of seven fails 0.45 of its requests for 6.5 s.
BACKENDS = 7
GREY = 0.45
SECONDS = 6.5
RATE = 60
# Answers that promise that a request has not run.
PROMISES = (408, 421, 429, 503)


def play(fleet, note):
    for number in range(BACKENDS):
        grey = GREY if number == 0 and lab2.TROUBLE else 0.0
        fleet.start_backend(
            f"i-{number}",
            "yard-roster",
            f"zone-{number % 2}",
            work=0.2,
            grey=grey,
            grey_status=503,
        )
    hosts = [
        fleet.start_host(
            f"front-{number}", f"zone-{number % 2}", f"127.0.1.{number}"
        )
        for number in (1, 2)
    ]
    fleet.configure(
        7,
        [("lot-accept", "/lot/", "unsafe", "yard-roster")],
        {"yard-roster": False},
    )
    fleet.wait_ready()
    return asyncio.run(drive(fleet, hosts, note))


async def accept(hosts, lot):
    """Accept one lot as a client does: once more after a promise, no oftener.

    Returns the attempts.
    """
    attempts = []
    for attempt in range(2):
        host = hosts[(lot + attempt) % len(hosts)]
        answer = await lab2.send(
            host, f"/lot/{lot}", "POST", body=f"lot {lot}".encode()
        )
        attempts.append(answer)
        if answer.status not in PROMISES:
            break
        await asyncio.sleep(float(answer.headers.get("retry-after", 0)))
    return attempts


async def drive(fleet, hosts, note):
    await asyncio.sleep(3.0)
    tasks = []
    for lot in range(int(SECONDS * RATE)):
        tasks.append(asyncio.ensure_future(accept(hosts, lot)))
        await asyncio.sleep(1 / RATE)
    lots = await asyncio.gather(*tasks)
    return judge(fleet.read_events(), lots, note)


def judge(events, lots, note):
    ran = {
        each["request"]: each for each in events if each["event"] == "begins"
    }
    broken = twice = 0
    for attempts in lots:
        false = [
            each
            for each in attempts
            if each.status in PROMISES and each.number in ran
        ]
        runs = [each for each in attempts if each.number in ran]
        broken += len(false)
        twice += len(runs) > 1
        for each in attempts if false else ():
            at = ran.get(each.number)
            where = "ran nowhere" if at is None else f"ran at {at['id']}"
            note(f"{each.describe()}; {where}", each.began)
    note(
        f"{len(lots)} lots, {sum(map(len, lots))} attempts, "
        f"{sum(each[-1].status == 200 for each in lots)} lots answered 200"
    )
    note(
        f"{broken} attempts were answered with a promise that they had not "
        "run, and had run; none may"
    )
    note(f"{twice} lots were accepted twice, as their clients came again")
    if not lots or not ran:
        raise lab2.CannotRun("nothing ran")
    return broken == 0


if __name__ == "__main__":
    raise SystemExit(lab2.run_case(FOLDER, play))
