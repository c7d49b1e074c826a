"""Processes and stand-ins of the second review's scripts.

A case starts hosts with the command of the deploy file, the project's stand-in
of the platform's store, and backends of this file. All addresses are loopback
addresses, and all ports are free ones.

    python3 lab2.py backend OPTIONS-AS-JSON    runs one backend
"""

import asyncio
import base64
import collections
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback
import urllib.error
import urllib.request

ROOT = pathlib.Path(__file__).resolve().parents[1]
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST_HEADER = "review.example"
# As in the site file of rfi-gateway.
HEARTBEAT = 1.5
DRAIN = 2.0
STABLE_WINDOW = 3.0
CRASHED = 139
# Where backends are reached by the machine that a case cuts off from them.
SECOND_IP = "127.0.2.1"


def find_ports(count, address="127.0.0.1"):
    """Return ports that are free at an address."""
    sockets = []
    for _ in range(count):
        each = socket.socket()
        each.bind((address, 0))
        sockets.append(each)
    ports = [each.getsockname()[1] for each in sockets]
    for each in sockets:
        each.close()
    return ports


# Messages


async def read_message(reader):
    """Return first line, headers and body of a message, or None at the end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = b""
    if "content-length" in headers:
        try:
            body = await reader.readexactly(int(headers["content-length"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            return None
    return first, headers, body


def format_message(first, headers, body=b""):
    """Return the bytes of a message with a length."""
    lines = [first, *(f"{name}: {value}" for name, value in headers)]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


# Backend


class Keys:
    """Keys that one life of a backend holds, and the fences that it saw."""

    def __init__(self):
        self.grants = []
        self.seen = []
        self.running = []

    def holds(self, key):
        now = time.monotonic()
        return any(
            low <= key <= high and now < until
            for low, high, until in self.grants
        )

    async def obey(self, target, order, headers):
        """Carry out a grant or a release; return the answer's parts."""
        low, high, fence = order["from"], order["to"], order["fence"]
        now = time.monotonic()
        is_grant = target.endswith("grant")
        if is_grant and any(
            seen > fence and first <= high and low <= last
            for first, last, seen in self.seen
        ):
            return "HTTP/1.1 409 No", headers
        self.seen.append((low, high, fence))
        kept = []
        for first, last, until in self.grants:
            if first < low:
                kept.append((first, min(last, low - 1), until))
            if last > high:
                kept.append((max(first, high + 1), last, until))
        self.grants = [each for each in kept if each[2] > now]
        if is_grant:
            until = now + order["hold-ms"] / 1000
            self.grants.append((low, high, until))
            return "HTTP/1.1 200 OK", headers
        while any(low <= key <= high for key in self.running):
            await asyncio.sleep(0.005)
        handover = ("Sedgetide-Handover", f"h{fence}")
        return "HTTP/1.1 200 OK", [*headers, handover]


class Backend:
    """A backend as PROTOCOL.md describes it.

    Options: id, born, service, zone, addresses, slots, keyed, work (mean
    seconds, half as long to one and a half times as long), store,
    heartbeat, drops (whether it drops a request whose connection closes),
    deadly (path prefix of requests that crash it), deadly_after (seconds of
    work after which it crashes), grey (share of the requests that may run
    once at most that fail after their work), grey_status, gone_after (seconds
    from the notice to leave until it is gone; 0 for never). SIGUSR1 tells it
    to leave. SIGUSR2 cuts off those that reach it at its second address, or
    reaches them again.
    """

    def __init__(self, options):
        self.o = options
        self.running = 0
        self.waiting = 0
        self.slots = asyncio.Semaphore(options["slots"])
        self.leaving = False
        self.left = False
        self.keys = Keys()
        self.listeners = {}
        self.writers = collections.defaultdict(set)
        self.random = random.Random(options["id"])

    def log(self, event, **fields):
        line = {"at": time.monotonic(), "event": event, "id": self.o["id"]}
        line["born"] = self.o["born"]
        sys.stdout.write(json.dumps({**line, **fields}) + "\n")
        sys.stdout.flush()

    async def run(self):
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGUSR1, self.leave)
        loop.add_signal_handler(signal.SIGUSR2, self.switch)
        for address in self.o["addresses"]:
            await self.listen(address)
        await self.beat_forever()

    async def listen(self, address):
        host, _, port = address.rpartition(":")

        async def serve(reader, writer):
            await self.serve(reader, writer, address)

        server = await asyncio.start_server(serve, host, int(port))
        self.listeners[address] = server

    def switch(self):
        """Refuse at the second address and reset its connections, or serve."""
        address = self.o["addresses"][1]
        server = self.listeners.pop(address, None)
        self.log("is reached again" if server is None else "is cut off")
        if server is None:
            asyncio.ensure_future(self.listen(address))
            return
        server.close()
        for writer in list(self.writers[address]):
            writer.transport.abort()

    def leave(self):
        self.leaving = True
        self.log("leaving")
        if self.o["gone_after"]:
            loop = asyncio.get_running_loop()
            loop.call_later(self.o["gone_after"], self.go)

    def go(self):
        self.log("gone", running=self.running)
        os._exit(0)

    async def beat_forever(self):
        while True:
            await asyncio.to_thread(self.beat)
            await asyncio.sleep(self.o["heartbeat"])

    def beat(self):
        state = "draining" if self.leaving else "ready"
        entry = {
            "address": self.o["addresses"][0],
            "born": self.o["born"],
            "info": {
                "service": self.o["service"],
                "version": "v1",
                "zone": self.o["zone"],
                "slots": self.o["slots"],
            },
            "status": {"state": state, "sequence": 1, "warmup-left-ms": 0},
        }
        status = put(
            self.o["store"],
            "servers/" + self.o["id"],
            entry,
            3 * self.o["heartbeat"],
        )
        if state == "draining" and status == 200 and not self.left:
            self.left = True
            self.log("leaving accepted by the store")

    async def serve(self, reader, writer, address):
        self.writers[address].add(writer)
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                task = asyncio.ensure_future(self.answer(message, address))
                if self.o["drops"]:
                    await self.watch(reader, task)
                answer = await task
                writer.write(answer)
                await writer.drain()
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.writers[address].discard(writer)
            writer.close()

    async def watch(self, reader, task):
        """Drop the request of a task when its connection closes."""
        while not task.done():
            await asyncio.wait([task], timeout=0.02)
            if reader.at_eof() or reader.exception() is not None:
                task.cancel()
                return

    async def answer(self, message, address):
        first, headers, _ = message
        method, target, _ = first.split(" ", 2)
        number = headers.get("sedgetide-request-id")
        expected = headers.get("sedgetide-expect-instance")
        own = [("Sedgetide-Instance-Id", self.o["id"])]
        if number is not None:
            own.append(("Sedgetide-Request-Id", number))
        if self.leaving:
            own.append(("Server-Leaving", "1"))
        not_run = [("Sedgetide-Not-Executed", "1")]
        if expected not in (None, self.o["id"]):
            return format_message("HTTP/1.1 421 No", own + not_run)
        if target in ("/sedgetide/grant", "/sedgetide/release"):
            order = json.loads(message[2])
            return format_message(*await self.keys.obey(target, order, own))
        if target == "/health":
            status = "503 No" if self.leaving else "200 OK"
            return format_message("HTTP/1.1 " + status, own)
        if number is None:
            return format_message("HTTP/1.1 400 No", own + not_run)
        at = self.o["addresses"].index(address)
        self.log("arrived", request=number, target=target, address=at)
        if self.waiting >= 16:
            return format_message("HTTP/1.1 503 No", own + not_run)
        self.waiting += 1
        try:
            await self.slots.acquire()
        finally:
            self.waiting -= 1
        try:
            return await self.run_request(method, target, headers, own)
        finally:
            self.slots.release()

    async def run_request(self, method, target, headers, own):
        number = headers["sedgetide-request-id"]
        key = int(headers.get("sedgetide-shard-key", "-1"))
        if self.o["keyed"] and not self.keys.holds(key):
            not_run = ("Sedgetide-Not-Executed", "1")
            return format_message("HTTP/1.1 421 No", [*own, not_run])
        self.running += 1
        self.keys.running.append(key)
        try:
            self.log("begins", request=number, target=target, method=method)
            await self.work(target, headers)
            self.log("ends", request=number)
        finally:
            self.running -= 1
            self.keys.running.remove(key)
        if self.fails(method):
            self.log("fails", request=number)
            signature = ("Sedgetide-Response-Signature", f"sig.{number}")
            status = f"HTTP/1.1 {self.o['grey_status']} Failed"
            return format_message(status, [*own, signature])
        body = f"{number} {self.o['id']}\n".encode()
        if self.leaving and ("Server-Leaving", "1") not in own:
            own.append(("Server-Leaving", "1"))
        load = f"{self.running},{self.waiting},{self.o['slots']}"
        return format_message(
            "HTTP/1.1 200 OK",
            [
                *own,
                ("Sedgetide-Response-Signature", f"sig.{number}"),
                ("Sedgetide-Server-Load", load),
            ],
            body,
        )

    def fails(self, method):
        """Return whether this request fails although its work is done."""
        share = self.o["grey"] if method == "POST" else 0.0
        return self.random.random() < share

    async def work(self, target, headers):
        deadline = int(headers.get("sedgetide-deadline-ms", "60000")) / 1000
        if self.o["deadly"] and target.startswith(self.o["deadly"]):
            after = self.o["deadly_after"]
            await asyncio.sleep(min(after, deadline))
            if after < deadline:
                self.log("crashes")
                os._exit(CRASHED)
            return
        seconds = self.o["work"] * self.random.uniform(0.5, 1.5)
        await asyncio.sleep(min(seconds, deadline))


def put(store, key, value, life=None):
    """Write a key of the platform's store; return the status, 0 for none."""
    document = {"key": key, "value": value}
    if life is not None:
        document["life"] = life
    request = urllib.request.Request(
        f"http://{store}/put", json.dumps(document).encode(), method="POST"
    )
    try:
        with urllib.request.urlopen(request, timeout=1.0) as answer:
            return answer.status
    except urllib.error.HTTPError as error:
        return error.code
    except OSError:
        return 0


# Fleet


class Process:
    """A process of a case; its output is kept in the folder of the case."""

    def __init__(self, name, arguments, folder, environment=None):
        self.name = name
        self.output = folder / f"{name}.out"
        self.arguments = arguments
        self.environment = environment or make_environment()
        self.popen = None
        self.told = False

    def start(self):
        with self.output.open("ab") as output:
            self.popen = subprocess.Popen(
                self.arguments,
                cwd=ROOT,
                env=self.environment,
                stdout=output,
                stderr=output,
            )

    @property
    def running(self):
        return self.popen is not None and self.popen.poll() is None

    def signal(self, number):
        if self.running:
            self.popen.send_signal(number)

    def stop(self):
        if self.popen is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.popen.wait()


def make_environment(**extra):
    kept = {
        name: os.environ[name]
        for name in ("PATH", "HOME", "LANG")
        if name in os.environ
    }
    kept["PYTHONPATH"] = f"{ROOT / 'target' / 'deps'}:{ROOT}"
    return {**kept, **extra}


class Fleet:
    """Store, hosts and backends of one case."""

    def __init__(self, folder):
        self.folder = folder
        self.processes = []
        self.hosts = []
        self.backends = {}
        self.borns = collections.Counter()
        self.store_port = find_ports(1)[0]
        self.store = f"127.0.0.1:{self.store_port}"
        self.add(
            Process(
                "store",
                [
                    sys.executable,
                    "-m",
                    "sedgetide.testing.platformstore",
                    f"--port={self.store_port}",
                ],
                folder,
            )
        )

    def add(self, process):
        self.processes.append(process)
        process.start()
        return process

    def start_host(self, name, zone, ip, store=None):
        ports = find_ports(6, ip)
        address = [f"{ip}:{port}" for port in ports]
        settings = {
            "host": name,
            "data_centre": zone,
            "listen": address[0],
            "ready": address[1],
            "admin": address[2],
            "link": address[3],
            "forward_port": ports[4],
            "grace": 6,
            "max_hold_ms": 10000,
            "retry_ratio": 0.2,
            "retry_slack": 56,
            "processor_share": 0.86,
            "processors": 1,
            "memory_mb": 300,
            "link_mbps": 1000.0,
            "stores": [store or self.store],
            "limits": {"drain_notice": 2.9},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        host = Process(
            name,
            ["python3", "-m", "sedgetide.platform"],
            self.folder,
            make_environment(SEDGETIDE_SETTINGS=str(path)),
        )
        host.front, host.ready = address[0], address[1]
        self.hosts.append(host)
        return self.add(host)

    def start_backend(self, name, service, zone, **options):
        """Start a backend, or one more life of it under the same id."""
        known = self.backends.get(name)
        self.borns[name] += 1
        born = int(time.time() * 1000)
        if known is not None:
            options = known.options
        else:
            ip = options.pop("ip", "127.0.0.1")
            port = find_ports(1, ip)[0]
            addresses = [f"{ip}:{port}"]
            if options.pop("second", None):
                second = find_ports(1, SECOND_IP)[0]
                addresses.append(f"{SECOND_IP}:{second}")
            options = {
                "id": name,
                "service": service,
                "zone": zone,
                "addresses": addresses,
                "slots": 4,
                "keyed": False,
                "work": 0.1,
                "store": self.store,
                "heartbeat": HEARTBEAT,
                "drops": True,
                "deadly": "",
                "deadly_after": 0.0,
                "grey": 0.0,
                "grey_status": 500,
                "gone_after": 0.0,
                **options,
            }
        options = {**options, "born": born}
        process = Process(
            name,
            [sys.executable, __file__, "backend", json.dumps(options)],
            self.folder,
        )
        process.options = options
        self.backends[name] = process
        return self.add(process)

    def configure(
        self,
        version,
        routes,
        services,
        timeout=5000,
        target=800,
        body_bytes=1048576,
    ):
        """Write a configuration.

        A route is a name, path prefix, kind and service. Services are a dict
        that tells which of them are divided by key.
        """
        columns = "name host path-prefix kind timeout-ms target-latency-ms"
        columns = [*columns.split(), "max-attempts", "priority", "service"]
        rows = [
            [name, HOST_HEADER, prefix, kind, timeout, target, 2, 1, service]
            for name, prefix, kind, service in routes
        ]
        document = {
            "version": f"r{version}",
            "routes": {"columns": columns, "rows": rows},
            "services": {
                "columns": [
                    "name",
                    "health-path",
                    "max-connections",
                    "sharded",
                    "warm-s",
                ],
                "rows": [
                    [name, "/health", 51, keyed, 5.0 if keyed else None]
                    for name, keyed in services.items()
                ],
            },
            "limits": {
                "max-header-bytes": 32768,
                "max-body-bytes": body_bytes,
                "header-timeout-ms": 5000,
                "idle-timeout-ms": 20000,
            },
        }
        end = time.monotonic() + 10
        while put(self.store, "op/config", document) != 200:
            if time.monotonic() > end:
                raise CannotRun("the store takes no configuration")
            time.sleep(0.1)

    def fault(self, **document):
        """Set a fault of the store; see its module."""
        request = urllib.request.Request(
            f"http://{self.store}/fault",
            json.dumps(document).encode(),
            method="POST",
        )
        urllib.request.urlopen(request, timeout=2.0).close()

    def wait_ready(self, seconds=20.0):
        """Wait until all hosts say that they are ready."""
        end = time.monotonic() + seconds
        for host in self.hosts:
            while not self._is_ready(host):
                if time.monotonic() > end:
                    raise CannotRun(f"{host.name} does not get ready")
                time.sleep(0.1)

    def _is_ready(self, host):
        url = f"http://{host.ready}/sedgetide/readiness"
        try:
            with urllib.request.urlopen(url, timeout=1.0) as answer:
                return answer.status == 200
        except OSError:
            return False

    def read_events(self):
        """Return what all backends have written, in order of time."""
        events = []
        for path in sorted(self.folder.glob("*.out")):
            for line in path.read_text(errors="replace").splitlines():
                with contextlib.suppress(ValueError, AttributeError):
                    event = json.loads(line)
                    if "event" in event and "at" in event and "id" in event:
                        events.append(event)
        return sorted(events, key=lambda each: each["at"])

    def close(self):
        for each in reversed(self.processes):
            each.stop()


class SecondView:
    """The store as one machine sees it: backends at their second addresses.

    On loopback all machines have the same address, so that a cut of one of
    them from the backends needs other addresses for it. All else passes.
    """

    def __init__(self, store, seconds):
        self.store = store
        self.seconds = seconds
        self.address = f"127.0.0.1:{find_ports(1)[0]}"

    async def start(self):
        host, _, port = self.address.rpartition(":")
        await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader, writer):
        host, _, port = self.store.rpartition(":")
        try:
            back, forth = await asyncio.open_connection(host, int(port))
        except OSError:
            writer.close()
            return
        try:
            while True:
                message = await read_message(reader)
                if message is None:
                    break
                forth.write(_join(message))
                answer = await read_message(back)
                if answer is None:
                    break
                first, headers, body = answer
                writer.write(_join((first, headers, self._rewrite(body))))
                await writer.drain()
        except ConnectionError:
            pass
        finally:
            writer.close()
            forth.close()

    def _rewrite(self, body):
        try:
            document = json.loads(body)
        except ValueError:
            return body
        if not isinstance(document, dict):
            return body
        rows = document.get("items", []) + document.get("events", [])
        for row in [*rows, document]:
            key, value = row.get("key", ""), row.get("value")
            if key.startswith("servers/") and value:
                entry = json.loads(base64.b64decode(value))
                entry["address"] = self.seconds[entry["address"]]
                value = base64.b64encode(json.dumps(entry).encode())
                row["value"] = value.decode()
        return json.dumps(document).encode()


def _join(message):
    first, headers, body = message
    kept = [each for each in headers.items() if each[0] != "content-length"]
    return format_message(first, kept, body)


class CannotRun(Exception):
    """Raised when a case can't be run here."""


# Clients


class Answer:
    """How one client attempt ended."""

    def __init__(self, number, host, target, began):
        self.number = number
        self.host = host
        self.target = target
        self.began = began
        self.ended = None
        self.status = 0
        self.headers = {}
        self.body = b""
        self.how = ""

    def describe(self):
        status = self.status or self.how
        return f"{self.number} {self.host} {self.target} -> {status}"


async def open_kept(host):
    """Return a connection to a host for several attempts, one at a time."""
    ip, _, port = host.front.rpartition(":")
    return await asyncio.open_connection(ip, int(port))


def count(answers):
    """Return how many answers there are of each kind, as text."""
    kinds = collections.Counter(str(e.status or e.how) for e in answers)
    return ", ".join(
        f"{name}: {number}" for name, number in sorted(kinds.items())
    )


# All attempts of the case.
_answers = []
_numbers = iter(range(1, 1 << 30))
_PREFIX = f"{os.getpid():x}"


async def send(
    host,
    target,
    method="GET",
    deadline=4.0,
    patience=None,
    body=b"",
    key=None,
    kept=None,
):
    """Send one attempt; leave after the patience.

    It goes on a new connection, or on one that `open_kept` has returned.
    """
    number = f"{_PREFIX}-{next(_numbers)}"
    answer = Answer(number, host.name, target, time.monotonic())
    _answers.append(answer)
    headers = [
        ("Host", HOST_HEADER),
        ("Sedgetide-Request-Id", number),
        ("Sedgetide-Deadline-Ms", str(int(deadline * 1000))),
    ]
    if key is not None:
        headers.append(("Sedgetide-Shard-Key", str(key)))
    data = format_message(f"{method} {target} HTTP/1.1", headers, body)
    ip, _, port = host.front.rpartition(":")
    writer = None
    try:
        async with asyncio.timeout(patience or deadline):
            if kept is None:
                reader, writer = await asyncio.open_connection(ip, int(port))
            else:
                reader, writer = kept
            writer.write(data)
            message = await read_message(reader)
        if message is None:
            answer.how = "closed without an answer"
        else:
            first, answer.headers, answer.body = message
            answer.status = int(first.split(" ")[1])
    except TimeoutError:
        answer.how = "client left" if patience else "no answer in time"
    except OSError as error:
        answer.how = f"{type(error).__name__}"
    finally:
        if writer is not None and kept is None:
            writer.close()
    answer.ended = time.monotonic()
    return answer


def write_all(fleet, note):
    """Write what was sent, answered and run to the record."""
    note("all attempts, by when they were sent:")
    for each in _answers:
        ended = each.ended or time.monotonic()
        seconds = f"after {ended - each.began:.3f} s"
        note(f"  {each.describe()} {seconds}", each.began)
    note("all that backends did:")
    for each in fleet.read_events():
        left_out = ("at", "event", "id", "born")
        rest = {name: each[name] for name in each if name not in left_out}
        fields = " ".join(f"{name}={value}" for name, value in rest.items())
        note(f"  {each['id']} {each['event']} {fields}", each["at"])


def run_case(folder, play):
    """Play a case, write its record, and exit as the case tells.

    ``play`` is called with a fleet and a function that writes a line to the
    record, and returns whether the rule held.
    """
    record = (folder / "record.txt").open("w")
    began = time.monotonic()

    def note(text, at=None):
        seconds = (at or time.monotonic()) - began
        record.write(f"{seconds:8.3f} s  {text}\n")
        record.flush()

    code = NOT_RUN
    # So that all processes are ended when the script is.
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(NOT_RUN))
    with tempfile.TemporaryDirectory() as place:
        fleet = Fleet(pathlib.Path(place))
        try:
            note(f"TROUBLE={int(TROUBLE)}")
            code = HELD if play(fleet, note) else BROKEN
        except CannotRun as error:
            note(f"could not run: {error}")
        except Exception as error:
            note(f"could not run: {type(error).__name__}: {error}")
            traceback.print_exc()
        finally:
            fleet.close()
            write_all(fleet, note)
            keep = os.environ.get("KEEP")
            if keep:
                subprocess.run(["cp", "-r", place, keep], check=False)
            note(f"exit {code}")
            record.close()
    return code


if __name__ == "__main__" and sys.argv[1:2] == ["backend"]:
    asyncio.run(Backend(json.loads(sys.argv[2])).run())
