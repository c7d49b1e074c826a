"""Stand-ins and helpers of the cases: hosts, store, backends and clients.

The hosts are the project's own program, started with the command of the
deploy file. The store is the project's stand-in. Backends and clients are
small ones written for these cases; they run in the process of the case.
"""

import asyncio
import atexit
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time
import traceback

ROOT = pathlib.Path(__file__).resolve().parent.parent
KEYS = 65536
MAX_HEAD = 65536
NOT_EXECUTED = ("Sedgetide-Not-Executed", "1")
HOST = "ficu95.example"

_taken = set()


def find_port():
    """Return a loopback port that is free now and not handed out before."""
    while True:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            port = probe.getsockname()[1]
        if port not in _taken:
            _taken.add(port)
            return port


def parse_head(head):
    """Return the start line and the headers (names in lower case)."""
    lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, separator, value = line.partition(":")
        if separator:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers


async def read_message(reader):
    """Read a message with a length; return its start line, headers, body."""
    head = await reader.readuntil(b"\r\n\r\n")
    start, headers = parse_head(head[:-4])
    length = int(headers.get("content-length", 0))
    body = await reader.readexactly(length) if length else b""
    return start, headers, body


def format_answer(status, headers, body=b""):
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers]
    lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode("latin-1") + body


_started = []


def _end_programs():
    for program in _started:
        program.close()


def run_case(main):
    """Run a case and exit with its result; with 2 if it couldn't run.

    All processes that it started have ended then.
    """
    atexit.register(_end_programs)
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(2))
    try:
        result = main()
    except Exception:
        traceback.print_exc()
        result = 2
    sys.exit(result)


class Record:
    """Times and events of a case, written to record.txt at the end."""

    def __init__(self):
        self.began = time.monotonic()
        self.lines = []

    def note(self, text):
        self.lines.append(f"{time.monotonic() - self.began:9.4f} {text}")

    def write(self, path):
        pathlib.Path(path).write_text("\n".join(self.lines) + "\n")


class Program:
    """A child process in a session of its own."""

    def __init__(self, name, arguments, folder, extra=None):
        libraries = ROOT / "target" / "deps"
        self.name = name
        self._arguments = arguments
        self._output = pathlib.Path(folder) / f"{name}.out"
        self._environment = {
            "PATH": os.environ["PATH"],
            "HOME": str(folder),
            "PYTHONPATH": f"{libraries}{os.pathsep}{ROOT}",
            "PYTHONDONTWRITEBYTECODE": "1",
            **(extra or {}),
        }
        self.process = None

    def start(self):
        _started.append(self)
        with self._output.open("ab") as output:
            self.process = subprocess.Popen(
                self._arguments,
                cwd=ROOT,
                env=self._environment,
                stdin=subprocess.DEVNULL,
                stdout=output,
                stderr=output,
            )

    def signal(self, number):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(number)

    @property
    def exit_code(self):
        return self.process.poll()

    def read_output(self):
        return self._output.read_text(errors="replace")

    def close(self):
        if self.process is None:
            return
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        self.process.wait()


class Host(Program):
    """The deployed program of one machine, with its settings file."""

    def __init__(self, name, zone, store_port, folder, settings=None):
        self.port, self.ready, admin, link, forward = (
            find_port() for _ in range(5)
        )
        document = {
            "host": name,
            "data_centre": zone,
            "listen": f"127.0.0.1:{self.port}",
            "ready": f"127.0.0.1:{self.ready}",
            "admin": f"127.0.0.1:{admin}",
            "link": f"127.0.0.1:{link}",
            "forward_port": forward,
            "grace": 6,
            "max_hold_ms": 10000,
            "retry_ratio": 0.2,
            "retry_slack": 56,
            "processor_share": 0.86,
            "processors": 1,
            "memory_mb": 300,
            "link_mbps": 1000.0,
            "stores": [f"127.0.0.1:{store_port}"],
            "limits": {"drain_notice": 2.9},
            **(settings or {}),
        }
        path = pathlib.Path(folder) / f"{name}.json"
        path.write_text(json.dumps(document))
        # The command of deploy/system.toml.
        super().__init__(
            name,
            ["python3", "-m", "sedgetide.platform"],
            folder,
            {"SEDGETIDE_SETTINGS": str(path)},
        )

    async def is_ready(self):
        answer = await call(self.ready, "GET", "/sedgetide/readiness")
        return answer is not None and answer[0] == 200


async def call(port, method, path, document=None, timeout=2.0):
    """Make one call; return the status and body, or None."""
    body = b"" if document is None else json.dumps(document).encode()
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: 127.0.0.1:{port}\r\n"
        "Content-Type: application/json\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    writer = None
    try:
        async with asyncio.timeout(timeout):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(head.encode() + body)
            start, _, answer = await read_message(reader)
            return int(start.split()[1]), answer
    except (OSError, TimeoutError, asyncio.IncompleteReadError, ValueError):
        return None
    finally:
        if writer is not None:
            writer.close()


class Run:
    """One run of a request at a backend."""

    def __init__(self, request, backend, at):
        self.request = request
        self.backend = backend
        self.began = at
        self.ended = None
        self.cut = False


class Spells:
    """Spells in which some answers of a backend are garbled.

    The site's dose is a spell of 5 s in which 0.03 of the answers of 0.6 of
    the backends are garbled; a spell may come more than once.
    """

    LENGTH = 5.0
    PAUSE = 5.0
    SHARE = 0.03

    def __init__(self):
        self._began = None
        self._answers = 0
        self.garbled = 0

    def begin(self):
        """Begin the first spell."""
        self._began = time.monotonic()

    def _is_on(self):
        if self._began is None:
            return False
        age = time.monotonic() - self._began
        return age % (self.LENGTH + self.PAUSE) < self.LENGTH

    def may_garble(self, suitable):
        """Count an answer; return whether it is one to garble.

        Parameters
        ----------
        suitable : bool
            Whether the case garbles answers of its kind.
        """
        if not self._is_on():
            return False
        self._answers += 1
        allowed = self.SHARE * self._answers
        if not suitable or self.garbled + 1 > allowed:
            return False
        self.garbled += 1
        return True


class Backend:
    """A sound backend as on PROTOCOL.md, unless a case changes it.

    It runs one request at a time on a connection, ``slots`` in all, and
    queues ``queue`` more. The query ``work=N`` sets the work in ms.
    """

    def __init__(
        self,
        name,
        service,
        store_port,
        record,
        zone="z1",
        slots=2,
        queue=4,
        keyed=False,
        work_ms=100,
    ):
        self.name = name
        self.service = service
        self.zone = zone
        self.port = find_port()
        self.slots = slots
        self.queue = queue
        self.keyed = keyed
        self.work_ms = work_ms
        self.record = record
        self.runs = []
        self.rejected = []
        self.answers = 0
        self.beat_after = 0.0
        self._store_port = store_port
        self._forget()

    def _forget(self):
        """Set the state of a process that has just started."""
        self.running = 0
        self.waiting = 0
        self._free = asyncio.Semaphore(self.slots)
        self._seen = [0] * KEYS
        self._fence = [0] * KEYS
        self._until = [0.0] * KEYS
        self._tasks = []
        self._server = None
        self._busy = {}
        self._writers = set()
        self.born = int(time.time() * 1000)

    async def start(self):
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", self.port, limit=MAX_HEAD
        )
        self._tasks.append(asyncio.create_task(self._beat()))

    async def close(self):
        for task in self._tasks:
            task.cancel()
        if self._server is not None:
            self._server.close()

    async def crash(self):
        """End at once, as a process does: all connections are closed."""
        self.record.note(f"{self.name} ({self.born}) crashes")
        await self.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def restart(self, beat_after):
        """Start again under the same id and address, knowing nothing.

        The first entry of the new life is written ``beat_after`` seconds
        later.
        """
        self._forget()
        self.beat_after = beat_after
        await self.start()
        self.record.note(f"{self.name} ({self.born}) starts")

    async def _beat(self):
        await asyncio.sleep(self.beat_after)
        while True:
            entry = {
                "address": f"127.0.0.1:{self.port}",
                "born": self.born,
                "info": {
                    "service": self.service,
                    "version": "v1",
                    "zone": self.zone,
                    "slots": self.slots,
                },
                "status": {
                    "state": "ready",
                    "sequence": 1,
                    "warmup-left-ms": 0,
                },
            }
            await call(
                self._store_port,
                "POST",
                "/put",
                {"key": f"servers/{self.name}", "value": entry, "life": 4.5},
            )
            await asyncio.sleep(1.0)

    async def _serve(self, reader, writer):
        self._tasks.append(asyncio.current_task())
        self._writers.add(writer)
        try:
            while True:
                start, headers, body = await read_message(reader)
                await self.before_request(writer, start, headers)
                answer = await self._answer(reader, start, headers, body)
                if answer is None:
                    break
                self.answers += 1
                await self.send(writer, answer, start, headers)
        except (OSError, asyncio.IncompleteReadError, ValueError):
            pass
        except asyncio.CancelledError:
            # The process or the case has ended.
            pass
        finally:
            self._writers.discard(writer)
            writer.close()

    async def before_request(self, writer, start, headers):
        """Do what a faulty backend does when a request has arrived."""

    async def send(self, writer, answer, start, headers):
        """Send an answer: status, headers and body."""
        writer.write(format_answer(*answer))
        await writer.drain()

    async def _answer(self, reader, start, headers, body):
        method, target, _ = start.split(" ")
        path, _, query = target.partition("?")
        number = headers.get("sedgetide-request-id")
        echo = [] if number is None else [("Sedgetide-Request-Id", number)]
        expected = headers.get("sedgetide-expect-instance")
        if expected is not None and expected != self.name:
            return 421, [*echo, ("Sedgetide-Instance-Id", self.name)], b""
        if path == "/sedgetide/grant":
            return self._grant(json.loads(body)), echo, b""
        if path == "/sedgetide/release":
            await self._release(json.loads(body))
            handover = ("Sedgetide-Handover", f"from-{self.name}")
            return 200, [*echo, handover], b""
        if number is None:
            return 400, [NOT_EXECUTED], b""
        return await self._admit(reader, headers, number, query, echo)

    def _grant(self, order):
        low, high, fence = order["from"], order["to"] + 1, order["fence"]
        count = high - low
        if max(self._seen[low:high]) > fence:
            return 409
        until = time.monotonic() + order["hold-ms"] / 1000.0
        self._seen[low:high] = [fence] * count
        self._fence[low:high] = [fence] * count
        self._until[low:high] = [until] * count
        self.note_granted(low, high, fence)
        return 200

    def note_granted(self, low, high, fence):
        """Record that keys from low to below high were taken."""

    async def _release(self, order):
        low, high, fence = order["from"], order["to"] + 1, order["fence"]
        self._seen[low:high] = [
            max(fence, each) for each in self._seen[low:high]
        ]
        self._until[low:high] = [0.0] * (high - low)
        while any(low <= key < high for key in self._busy.values()):
            await asyncio.sleep(0.005)

    def _holds(self, key):
        return self._until[key] > time.monotonic()

    async def _admit(self, reader, headers, number, query, echo):
        if self.running >= self.slots and self.waiting >= self.queue:
            self.rejected.append((time.monotonic(), number))
            self.record.note(f"{self.name} rejects {number} (full)")
            load = self.describe_load()
            return 503, [*echo, NOT_EXECUTED, load], b""
        self.waiting += 1
        try:
            await self._free.acquire()
        finally:
            self.waiting -= 1
        try:
            key = int(headers.get("sedgetide-shard-key", 0))
            if self.keyed and not self._holds(key):
                self.record.note(f"{self.name} doesn't hold the key {key}")
                return 421, [*echo, NOT_EXECUTED], b""
            return await self._run(reader, number, key, query, echo)
        finally:
            self._free.release()

    async def _run(self, reader, number, key, query, echo):
        run = Run(number, self.name, time.monotonic())
        self.runs.append(run)
        self.record.note(f"{self.name} begins {number}")
        work = self.work_ms
        for part in query.split("&"):
            if part.startswith("work="):
                work = int(part[5:])
        self.running += 1
        self._busy[run] = key
        closed = asyncio.create_task(self._watch_close(reader))
        worked = asyncio.create_task(asyncio.sleep(work / 1000.0))
        try:
            await asyncio.wait(
                [closed, worked], return_when=asyncio.FIRST_COMPLETED
            )
            run.cut = not worked.done()
        finally:
            self.running -= 1
            del self._busy[run]
            worked.cancel()
            closed.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await closed
            run.ended = time.monotonic()
            how = "is cut off from" if run.cut else "ends"
            self.record.note(f"{self.name} {how} {number}")
        if run.cut:
            return None
        body = self.make_body(number, query)
        signature = ("Sedgetide-Response-Signature", f"{self.name}.{number}")
        return 200, [*echo, signature, self.describe_load()], body

    async def _watch_close(self, reader):
        """Return when the caller has closed; its next request is kept."""
        while not reader.at_eof():
            if reader.exception() is not None:
                return
            await asyncio.sleep(0.005)

    def make_body(self, number, query):
        return f"done {number} by {self.name}\n".encode()

    def describe_load(self):
        return (
            "Sedgetide-Server-Load",
            f"{self.running},{self.waiting},{self.slots}",
        )


class Reply:
    """What a client saw of one request."""

    def __init__(self, number, status, headers, body, sent, ended, error=""):
        self.number = number
        self.status = status
        self.headers = headers
        self.body = body
        self.sent = sent
        self.ended = ended
        self.error = error


def format_request(method, target, number, deadline_ms, key=None, body=b""):
    lines = [
        f"{method} {target} HTTP/1.1",
        f"Host: {HOST}",
        f"Sedgetide-Request-Id: {number}",
        f"Sedgetide-Deadline-Ms: {deadline_ms}",
    ]
    if key is not None:
        lines.append(f"Sedgetide-Shard-Key: {key}")
    if method != "GET":
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


async def ask(
    port, method, target, number, deadline_ms, record, key=None, body=b""
):
    """Send a request on a new connection and return what came of it."""
    sent = time.monotonic()
    record.note(f"client sends {method} {target} {number} to port {port}")
    writer = None
    status, headers, answer, error = 0, {}, b"", ""
    try:
        async with asyncio.timeout(deadline_ms / 1000.0):
            reader, writer = await asyncio.open_connection("127.0.0.1", port)
            writer.write(
                format_request(method, target, number, deadline_ms, key, body)
            )
            start, headers, answer = await read_message(reader)
            status = int(start.split()[1])
    except TimeoutError:
        error = "deadline"
    except (OSError, asyncio.IncompleteReadError) as problem:
        error = f"closed: {type(problem).__name__}"
    finally:
        if writer is not None:
            writer.close()
    record.note(f"client gets {status or error} for {number}")
    return Reply(
        number, status, headers, answer, sent, time.monotonic(), error
    )


class Deployment:
    """Store, hosts and backends of one case, with their configuration."""

    def __init__(self, record):
        self.record = record
        self._stack = contextlib.ExitStack()
        self.folder = self._stack.enter_context(
            tempfile.TemporaryDirectory(prefix="sedgetide-review-")
        )
        self.store_port = find_port()
        self.store = Program(
            "store",
            [
                sys.executable,
                "-m",
                "sedgetide.testing.platformstore",
                "--port",
                str(self.store_port),
            ],
            self.folder,
        )
        self.hosts = []
        self.backends = []

    def add_host(self, name, zone="z1", **settings):
        host = Host(name, zone, self.store_port, self.folder, settings)
        self.hosts.append(host)
        return host

    def add_backend(self, kind, name, service, **options):
        backend = kind(name, service, self.store_port, self.record, **options)
        self.backends.append(backend)
        return backend

    async def put(self, key, value):
        answer = await call(
            self.store_port, "POST", "/put", {"key": key, "value": value}
        )
        return answer is not None and answer[0] == 200

    async def start(self, routes, services):
        """Start everything; return whether all hosts became ready."""
        self.store.start()
        document = {
            "version": "r1",
            "routes": {
                "columns": [
                    "name",
                    "host",
                    "path-prefix",
                    "kind",
                    "timeout-ms",
                    "target-latency-ms",
                    "max-attempts",
                    "priority",
                    "service",
                ],
                "rows": routes,
            },
            "services": {
                "columns": ["name", "sharded", "max-connections"],
                "rows": services,
            },
            "limits": {
                "max-header-bytes": 16384,
                "max-body-bytes": 1048576,
                "header-timeout-ms": 5000,
                "idle-timeout-ms": 15000,
            },
        }
        if not await wait_for(lambda: self.put("op/config", document), 10):
            return False
        for backend in self.backends:
            await backend.start()
        for host in self.hosts:
            host.start()

        async def all_ready():
            for host in self.hosts:
                if not await host.is_ready():
                    return False
            return True

        return await wait_for(all_ready, 20)

    async def close(self):
        for host in self.hosts:
            host.close()
        self.store.close()
        for backend in self.backends:
            await backend.close()
        self._stack.close()


async def wait_for(condition, seconds):
    """Wait until a condition holds; return whether it does in time."""
    end = time.monotonic() + seconds
    while time.monotonic() < end:
        if await condition():
            return True
        await asyncio.sleep(0.1)
    return False


def judge_unsafe(replies, backends, record):
    """Return the replies that break REFUSED and the requests that ran twice.

    All requests are on unsafe routes, and each has an id of its own.
    """
    runs = {}
    for backend in backends:
        for run in backend.runs:
            runs.setdefault(run.request, []).append(run)
    refused = [
        each
        for each in replies
        if each.status in (408, 421, 429, 503) and each.number in runs
    ]
    twice = [number for number, some in runs.items() if len(some) > 1]
    for each in refused:
        record.note(f"REFUSED: {each.number} got {each.status} and has run")
    for number in twice:
        record.note(f"TWICE: {number} ran {len(runs[number])} times")
    return refused, twice
