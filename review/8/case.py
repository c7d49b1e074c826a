"""A configuration that allows larger bodies, and connections from before."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import lab2

FOLDER = pathlib.Path(__file__).resolve().parent
OLD_BYTES, NEW_BYTES = 16 * 1024, 1024 * 1024
BODY = b"x" * 100_000
CONFIG_APPLY = 2.0
# Connections to each machine; they are idle for so long, which is less than
# four fifths of the idle timeout.
KEPT = 5
IDLE = 6.0


def play(fleet, note):
    for number in range(4):
        zone = f"zone-{number % 2}"
        fleet.start_backend(f"i-{number}", "yard-roster", zone)
    hosts = [
        fleet.start_host(
            f"front-{zone}", f"zone-{zone}", f"127.0.1.{zone + 1}"
        )
        for zone in (0, 1)
    ]
    configure(fleet, 7, OLD_BYTES if lab2.TROUBLE else NEW_BYTES)
    fleet.wait_ready()
    return asyncio.run(drive(fleet, hosts, note))


def configure(fleet, version, body_bytes):
    fleet.configure(
        version,
        [("lot-accept", "/lot/", "unsafe", "yard-roster")],
        {"yard-roster": False},
        body_bytes=body_bytes,
    )


async def drive(fleet, hosts, note):
    await asyncio.sleep(3.0)
    kept = [(host, await lab2.open_kept(host)) for host in hosts * KEPT]
    first = await send_all(kept, b"small")
    note(f"small bodies on new connections: {lab2.count(first)}")
    await asyncio.sleep(1.0)
    if lab2.TROUBLE:
        await asyncio.to_thread(configure, fleet, 9, NEW_BYTES)
        note(f"r9 is acknowledged; it allows {NEW_BYTES} bytes of a body")
    await asyncio.sleep(IDLE - 1.0)
    new = [(host, await lab2.open_kept(host)) for host in hosts * KEPT]
    fresh = await send_all(new, BODY)
    note(
        f"bodies of {len(BODY)} bytes on new connections: {lab2.count(fresh)}"
    )
    answers = await send_all(kept, BODY)
    note(f"the same on connections from before: {lab2.count(answers)}")
    for each in answers:
        note(each.describe(), each.ended)
    if not all(each.status == 200 for each in first + fresh):
        raise lab2.CannotRun("requests that both versions allow failed")
    denied = sum(400 <= each.status < 500 for each in answers)
    note(
        f"{denied} requests, sent over {CONFIG_APPLY} s after the "
        "acknowledgement, were handled as only the older version allows"
    )
    return denied == 0


async def send_all(kept, body):
    return await asyncio.gather(
        *(
            lab2.send(host, f"/lot/{place}", "POST", body=body, kept=each)
            for place, (host, each) in enumerate(kept)
        )
    )


if __name__ == "__main__":
    raise SystemExit(lab2.run_case(FOLDER, play))
