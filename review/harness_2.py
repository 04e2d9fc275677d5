"""Stand-ins and processes for the cases in review/6 to review/10: discovery, replicas, clients, the dispatcher.

Python's standard library alone. Everything listens on loopback addresses and free ports.
"""
import asyncio
import json
import os
import re
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
HELD, BROKEN, CANNOT_RUN = 0, 1, 2


class CannotRun(Exception):
    pass


class Record:
    """record.txt of a case: what was sent, answered and run, in milliseconds since the start."""

    def __init__(self, folder):
        self.started = time.monotonic()
        self.file = open(os.path.join(folder, "record.txt"), "w", buffering=1)

    def now(self):
        return (time.monotonic() - self.started) * 1000

    def __call__(self, text):
        self.file.write("%9.1f  %s\n" % (self.now(), text))


def free_port(address, kind=socket.SOCK_STREAM):
    with socket.socket(socket.AF_INET, kind) as probe:
        probe.bind((address, 0))
        return probe.getsockname()[1]


def run_command():
    """The command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        return re.search(r'^run = "(.*)"$', file.read(), re.M).group(1)


def settings(**changes):
    """Settings of a small deployment like cairo-assist, in the form of the operators' pages."""
    value = {
        "balancers": 1, "myNumber": 0, "dcs": ["nasr-city"], "myZone": "nasr-city",
        "hostTypes": ["reader", "writer"], "registryMode": "push", "granularityMs": 4.0, "weights": "nominal",
        "categories": [
            {"name": "ask", "repeat": "safe", "group": "all", "windowMs": 5000.0, "objectiveMs": 1200.0,
             "deadlineMs": 6000.0, "lateValue": 0.3, "stream": True, "worth": 1.0},
            {"name": "command", "repeat": "unsafe", "group": "all", "windowMs": 5000.0, "objectiveMs": 800.0,
             "deadlineMs": 3000.0, "lateValue": 0.3, "stream": True, "worth": 5.0}],
        "familyInfo": {"dutyByKind": ["read", "write"], "pinLimitMs": 300.0, "resume": False,
                       "writersRead": False, "aimUsPer1000PromptTokens": [40000.0, 60000.0],
                       "tokenAimMs": [60.0, 50.0], "memoryTokens": [253995, 150352]},
        "limits": {"mostTries": 4, "connectTimeoutMs": 250.0, "idleCloseMs": 15000.0, "mayCancel": True,
                   "mayDuplicate": False, "mayProbe": False, "peers": False, "retryAfter": True,
                   "maxRetryAfterMs": 500.0, "openCap": 10000, "streamsPerConn": 1},
        "guarantees": {"answerSlackMs": 16.0, "drainGraceMs": 250.0, "coldShare": 0.3, "coldMs": 14000.0,
                       "tipMultiple": 4.0, "tipAfterMs": 2000.0, "askEveryMs": 10000.0},
        "tenants": [{"name": "delta-hospitals", "quotaRps": 1000.0, "share": 1.0}],
    }
    for key, change in changes.items():
        if isinstance(change, dict):
            value[key] = {**value[key], **change}
        else:
            value[key] = change
    return value


async def read_head(reader):
    """Returns the start line and the header fields, or None at the end of the connection."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError, asyncio.LimitOverrunError):
        return None
    lines = head.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, text = line.partition(":")
        if colon:
            fields[name.strip().lower()] = text.strip()
    return lines[0], fields


class Server:
    """A TCP server on a loopback address, one task for each connection."""

    def __init__(self, address="127.0.0.1"):
        self.address = address
        self.port = None
        self.server = None

    async def start(self):
        self.server = await asyncio.start_server(self._serve, self.address, 0, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    async def _serve(self, reader, writer):
        try:
            await self.serve(reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @property
    def dial(self):
        return "%s:%d" % (self.address, self.port)


class Discovery(Server):
    """Discovery: the whole list, and a watch with an empty line each 2 s."""

    def __init__(self, hosts):
        super().__init__()
        self.hosts = hosts
        self.seq = 1

    def whole(self):
        return {"seq": self.seq, "whole": True, "hosts": self.hosts}

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            line = json.dumps(self.whole()).encode() + b"\n"
            if "follow=1" not in head[0]:
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(line) + line)
                await writer.drain()
                continue
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n")
            writer.write(b"%x\r\n" % len(line) + line + b"\r\n")
            while True:
                await writer.drain()
                await asyncio.sleep(2)
                if reader.at_eof():
                    return
                writer.write(b"1\r\n\n\r\n")


def event(text=None, reason=None):
    delta = {} if text is None else {"content": text}
    return b"data: " + json.dumps({"choices": [{"index": 0, "delta": delta, "finish_reason": reason}]}).encode() + b"\n\n"


USAGE = (b'data: {"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":10,'
         b'"prompt_tokens_details":{"cached_tokens":0}}}\n\n')
DONE = b"data: [DONE]\n\n"


class Replica(Server):
    """A reader or a writer. `plan` gives the times of a request: see Plan."""

    def __init__(self, name, kind, record, plan):
        super().__init__()
        self.name, self.kind, self.record, self.plan = name, kind, record, plan
        self.attempts = []  # (milliseconds, id, body) of each request that came whole
        self.cuts = []      # (id, events written, milliseconds) of each stream whose connection ended under it

    def entry(self, block=0):
        return {"host": self.name, "dial": self.dial, "site": "nasr-city", "class": self.kind, "block": block,
                "health": "up", "share": 1.0, "born_ms": 0}

    async def serve(self, reader, writer):
        while True:
            head = await read_head(reader)
            if head is None:
                return
            line, fields = head
            method, target, _ = line.split(" ", 2)
            body = await reader.readexactly(int(fields.get("content-length", "0")))
            if target.startswith("/kv/leases/"):
                status = b"204 No Content" if method == "DELETE" else b"404 Not Found"
                self.record("%s %s %s" % (self.name, method, target))
                writer.write(b"HTTP/1.1 " + status + b"\r\nContent-Length: 0\r\n\r\n")
                await writer.drain()
                continue
            request = fields.get("x-correlation-id", "")
            self.attempts.append((self.record.now(), request, body))
            self.record("%s got %s (%d bytes)" % (self.name, request, len(body)))
            if self.kind == "reader":
                await asyncio.sleep(self.plan.read_ms / 1000)
                answer = b'{"cached_tokens":0}'
                writer.write(b"HTTP/1.1 202 Accepted\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                             % len(answer) + answer)
                await writer.drain()
                continue
            if not await self.stream(reader, writer, request, body):
                return

    async def stream(self, reader, writer, request, body):
        """Writes one answer. Returns False if the dispatcher ended the connection."""
        gone = asyncio.ensure_future(reader.read(1))

        async def wait(milliseconds):
            done, _ = await asyncio.wait({gone}, timeout=max(0.0, milliseconds) / 1000)
            return not done

        events = 0
        try:
            if not await wait(self.plan.first_ms(self, body)):
                self.record("%s: the attempt of %s was ended before its first token" % (self.name, request))
                return False
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
            count = self.plan.events(body)
            for number in range(count):
                part = event("w%d " % number)
                writer.write(b"%x\r\n" % len(part) + part + b"\r\n")
                await writer.drain()
                events += 1
                if number == 0:
                    self.record("%s: first token of %s" % (self.name, request))
                if number + 1 < count and not await wait(self.plan.gap_ms(self, body, number)):
                    self.cuts.append((request, events, self.record.now()))
                    self.record("%s: the stream of %s was cut after %d of %d events"
                                % (self.name, request, events, count))
                    return False
            tail = event(None, "stop") + USAGE + DONE
            writer.write(b"%x\r\n" % len(tail) + tail + b"\r\n0\r\n\r\n")
            await writer.drain()
            self.record("%s: finished %s" % (self.name, request))
        except ConnectionError:
            self.cuts.append((request, events, self.record.now()))
            self.record("%s: the stream of %s was cut after %d events" % (self.name, request, events))
            return False
        finally:
            if not gone.done():
                gone.cancel()
                try:
                    await gone
                except asyncio.CancelledError:
                    pass
        return True


class Plan:
    """Times of a sound replica. A case overrides what it needs."""
    read_ms = 60

    def first_ms(self, replica, body):
        return 60

    def events(self, body):
        return 4

    def gap_ms(self, replica, body, number):
        return 30


class Answer:
    def __init__(self):
        self.status = None
        self.body = b""
        self.whole = False       # the answer came to its end
        self.closed = False      # the dispatcher ended the connection
        self.at = None           # milliseconds of its last byte
        self.event_times = []
        self.fields = {}


class Client:
    """One client connection."""

    def __init__(self, record, address):
        self.record, self.address = record, address
        self.reader = self.writer = None
        self.begun = False  # the head of the present answer has come

    async def connect(self):
        host, port = self.address
        self.reader, self.writer = await asyncio.open_connection(host, port, limit=1 << 20)
        return self

    def send(self, data):
        self.writer.write(data)

    async def answer(self, timeout):
        """Reads one answer. One that is not whole within `timeout` seconds stays unfinished."""
        result = Answer()
        try:
            await asyncio.wait_for(self._read(result), timeout)
        except asyncio.TimeoutError:
            pass
        except (ConnectionError, asyncio.IncompleteReadError):
            result.closed = True
        result.at = self.record.now()
        return result

    async def _read(self, result):
        self.begun = False
        head = await read_head(self.reader)
        if head is None:
            result.closed = True
            return
        self.begun = True
        result.status = int(head[0].split(" ")[1])
        result.fields = head[1]
        if head[1].get("transfer-encoding") == "chunked":
            while True:
                size = int((await self.reader.readline()).strip() or b"-1", 16)
                if size < 0:
                    raise ConnectionError
                data = await self.reader.readexactly(size + 2)
                if size == 0:
                    break
                result.body += data[:-2]
                result.event_times.append(self.record.now())
        else:
            result.body = await self.reader.readexactly(int(head[1].get("content-length", "0")))
        result.whole = True

    def close(self):
        if self.writer is not None:
            self.writer.close()


def platform_request(request, service, prompt_tokens=200, time_left_ms=None, session=None):
    """A request in the form of PROTOCOL, with the account of settings()."""
    text = "t" * (4 * prompt_tokens)
    body = json.dumps({"model": "chat", "stream": True, "max_tokens": 100,
                       "messages": [{"role": "user", "content": request + text[len(request):]}]}).encode()
    time_left = time_left_ms if time_left_ms is not None else {"ask": 6000, "command": 3000}[service]
    return (("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\n"
             "X-Service-Class: %s\r\nX-Account: delta-hospitals\r\nX-Session-Key: %s\r\nX-Time-Left-Ms: %d\r\n"
             "X-Facts: prompt_len=%d,max_out=100\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n")
            % (request, service, session or request, time_left, prompt_tokens, len(body))).encode() + body


def chat_request(model, text, stream=True):
    body = json.dumps({"model": model, "stream": stream, "messages": [{"role": "user", "content": text}]}).encode()
    return (b"POST /v1/chat/completions HTTP/1.1\r\nHost: chat.local\r\nContent-Type: application/json\r\n"
            b"Content-Length: %d\r\n\r\n" % len(body)) + body


class Case:
    """One run: its folder, record, temporary folder and processes."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record(folder)
        self.temporary = tempfile.mkdtemp(prefix="case-")
        self.processes = []
        self.record("TROUBLE=%d" % TROUBLE)

    def path(self, name):
        return os.path.join(self.temporary, name)

    def write(self, name, value):
        with open(self.path(name), "w") as file:
            json.dump(value, file)
        return self.path(name)

    async def fleet(self, plan, readers=2, writers=2, cells=1):
        """Starts replicas and discovery."""
        self.replicas = []
        for kind, count in (("reader", readers), ("writer", writers)):
            for number in range(count):
                self.replicas.append(await Replica("%s-%d" % (kind, number), kind, self.record, plan).start())
        self.hosts = [replica.entry(number % cells) for number, replica in enumerate(self.replicas)]
        self.discovery = await Discovery(self.hosts).start()
        return self.replicas

    async def start(self, label, name, listen, tmpdir, config_settings, chat=None, vrrp=None, sockets=1024):
        """Starts a dispatcher with the command of the deploy file. `label` names the process in the record."""
        binary = os.path.join(ROOT, "build", "llm-dispatcher")
        if not os.path.exists(binary):
            raise CannotRun("build/llm-dispatcher is missing: build it first")
        console = ("127.0.0.1", free_port("127.0.0.1"))
        config = {"name": name, "listen": "%s:%d" % listen, "discovery": self.discovery.dial,
                  "console": "%s:%d" % console, "seed": os.urandom(8).hex(),
                  "limits": {"cores": 1.0, "memory_mb": 192, "sockets": sockets},
                  "known": self.discovery.whole(), "settings": config_settings}
        os.makedirs(tmpdir, exist_ok=True)
        environment = {**os.environ, "TMPDIR": tmpdir, "PROXY_NAME": name, "PROXY_LISTEN": config["listen"],
                       "PROXY_DISCOVERY": config["discovery"], "PROXY_CONSOLE": config["console"],
                       "PROXY_CONFIG": self.write("config-%s.json" % label, config),
                       "BITTERNFERRY_LOG_REQUESTS": "1"}
        if chat is not None:
            environment["BITTERNFERRY_CHAT"] = self.write("chat-%s.json" % label, chat)
        if vrrp is not None:
            environment["BITTERNFERRY_VRRP"] = self.write("vrrp-%s.json" % label, vrrp)
        log = open(self.path("log-%s.txt" % label), "wb")
        process = await asyncio.create_subprocess_exec("/bin/sh", "-c", run_command(), cwd=ROOT, env=environment,
                                                       stdin=asyncio.subprocess.DEVNULL, stdout=log, stderr=log)
        log.close()
        process.label, process.console = label, console
        self.processes.append(process)
        self.record("process %s started (pid %d)" % (label, process.pid))
        return process

    async def ready(self, process, timeout=10):
        """Waits until the console of the process says that it is ready."""
        end = time.monotonic() + timeout
        while time.monotonic() < end:
            if process.returncode is not None:
                raise CannotRun("process %s ended: %s" % (process.label, self.log(process)[-500:]))
            client = Client(self.record, process.console)
            try:
                await client.connect()
                client.send(b"GET /control/ready HTTP/1.1\r\nHost: console\r\n\r\n")
                answer = await client.answer(1)
                if answer.status == 200:
                    self.record("process %s says that it is ready" % process.label)
                    return
            except OSError:
                pass
            finally:
                client.close()
            await asyncio.sleep(0.05)
        raise CannotRun("process %s was not ready: %s" % (process.label, self.log(process)[-500:]))

    def signal(self, process, number):
        self.record("%s to process %s" % (signal.Signals(number).name, process.label))
        process.send_signal(number)

    async def ended(self, process, timeout):
        try:
            await asyncio.wait_for(process.wait(), timeout)
        except asyncio.TimeoutError:
            return False
        self.record("process %s ended with %s" % (process.label, process.returncode))
        return True

    def log(self, process):
        with open(self.path("log-%s.txt" % process.label), errors="replace") as file:
            return file.read()

    async def close(self):
        for process in self.processes:
            self.record("log of process %s:" % process.label)
            rest = 300  # lines about single requests and connections
            for line in self.log(process).splitlines():
                is_detail = re.match(r"[0-9.]+ (request|connection|client) ", line) is not None
                if is_detail and rest <= 0:
                    continue
                rest -= is_detail
                self.record("  " + line)
            if process.returncode is None:
                for number in (signal.SIGCONT, signal.SIGKILL):
                    try:
                        process.send_signal(number)
                    except ProcessLookupError:
                        pass
                await process.wait()
        shutil.rmtree(self.temporary, ignore_errors=True)


def run(file, body, limit=115):
    """Runs the coroutine function `body`, which returns HELD or BROKEN, and exits with its result."""

    async def guarded():
        case = Case(os.path.dirname(os.path.abspath(file)))
        try:
            return await asyncio.wait_for(body(case), limit)
        except (CannotRun, OSError, asyncio.TimeoutError) as error:
            case.record("cannot run: %r" % error)
            print("cannot run: %r" % error)
            return CANNOT_RUN
        finally:
            await case.close()

    result = asyncio.run(guarded())
    print({HELD: "held", BROKEN: "BROKEN", CANNOT_RUN: "could not run"}[result])
    sys.stdout.flush()
    os._exit(result)
