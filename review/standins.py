"""Stand-ins for the review's cases: service discovery, replicas, clients, and the control of dispatchers.

They follow the operators' protocol page and use the standard library only. Everything listens on 127.0.0.1 at
ports that the system chooses. One asyncio loop runs all stand-ins of a test.
"""
import asyncio
import json
import os
import random
import secrets
import shutil
import signal
import socket
import sys
import tempfile
import time

ROOT = os.path.dirname(os.path.dirname(os.path.abspath(__file__)))
DAEMON = "exec build/llm-dispatcher"  # the command `run` of deploy/balancer.toml


def run_command():
    """Returns the command `run` of the deploy file."""
    with open(os.path.join(ROOT, "deploy", "balancer.toml")) as file:
        for line in file:
            name, _, value = line.partition("=")
            if name.strip() == "run":
                return json.loads(value.strip())
    return DAEMON


class Record:
    """Writes what was sent, answered and run, with the time since the start, to the case's record.txt."""

    def __init__(self, path):
        self.file = open(path, "w")
        self.start = time.monotonic()

    def now(self):
        return time.monotonic() - self.start

    def __call__(self, text):
        self.file.write("%9.4f %s\n" % (self.now(), text))

    def close(self):
        self.file.close()


def free_port(kind=socket.SOCK_STREAM, host="127.0.0.1"):
    """Returns a port that is free now, below those that the system gives to outgoing connections."""
    while True:
        port = random.randint(12000, 32000)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind((host, port))
                return port
            except OSError:
                continue


async def read_head(reader):
    """Returns (start line, fields with lower-case names), or None at the end of the connection."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    lines = raw.decode("latin-1").split("\r\n")
    fields = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            fields[name.strip().lower()] = value.strip()
    return lines[0], fields


async def read_body(reader, fields):
    return await reader.readexactly(int(fields.get("content-length", "0")))


# ---- service discovery ----


class Discovery:
    """Lists the replicas; a watch gets an empty line every 2 s and each change at once."""

    def __init__(self):
        self.hosts = {}
        self.version = 1
        self.watches = set()

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    def add(self, replica, health="up", born_ms=0):
        self.hosts[replica.name] = {
            "host": replica.name, "dial": replica.address, "site": replica.site, "class": replica.kind,
            "block": replica.block, "health": health, "share": 1.0, "born_ms": born_ms}

    def whole(self):
        return {"seq": self.version, "whole": True, "hosts": list(self.hosts.values())}

    def change(self, name, health):
        self.version += 1
        entry = dict(self.hosts[name], health=health)
        if health == "removed":
            del self.hosts[name]
        else:
            self.hosts[name] = entry
        update = {"seq": self.version, "whole": False, "hosts": [entry]}
        for writer in list(self.watches):
            self.write_line(writer, json.dumps(update))

    @staticmethod
    def write_line(writer, text):
        data = text.encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                if "follow=1" not in head[0]:
                    body = json.dumps(self.whole()).encode()
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
                                 % len(body) + body)
                    await writer.drain()
                    continue
                writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                self.write_line(writer, json.dumps(self.whole()))
                self.watches.add(writer)
                while True:
                    await writer.drain()
                    await asyncio.sleep(2)
                    self.write_line(writer, "")
        except (ConnectionError, asyncio.CancelledError):
            pass
        finally:
            self.watches.discard(writer)
            writer.close()


# ---- replicas ----


class Fleet:
    """What the replicas of a test share: the states that wait at readers, and a list of what has run."""

    def __init__(self, record):
        self.record = record
        self.states = {}  # request id -> name of the reader that holds its state
        self.reads = {}  # request id -> reads that began
        self.runs = {}  # request id -> names of the writers that began to answer
        self.finished = {}  # request id -> time at which a writer wrote the last chunk
        self.cut = {}  # request id -> time at which a writer's stream was cut by the dispatcher
        self.arrivals = []  # (time, replica, request id)


class Replica:
    """A reader answers 202 after read_s. A writer streams `tokens` events."""

    def __init__(self, fleet, name, kind, read_s=0.03, wait_s=0.02, tokens=20, token_s=0.05):
        self.fleet, self.name, self.kind, self.site, self.block = fleet, name, kind, "za", 0
        self.read_s, self.wait_s, self.tokens, self.token_s = read_s, wait_s, tokens, token_s

    async def start(self):
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20)
        self.address = "127.0.0.1:%d" % self.server.sockets[0].getsockname()[1]

    async def serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, fields = head
                await read_body(reader, fields)
                method, target, _ = line.split(" ", 2)
                if target.startswith("/kv/leases/"):
                    self.lease(method, target.rsplit("/", 1)[1], writer)
                else:
                    if "x-correlation-id" not in fields:
                        self.answer(writer, 404, b"")
                        continue
                    await self.attempt(fields["x-correlation-id"], fields, reader, writer)
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError, asyncio.CancelledError):
            pass
        finally:
            writer.close()

    @staticmethod
    def answer(writer, status, body, extra=b""):
        writer.write(b"HTTP/1.1 %d X\r\n%sContent-Length: %d\r\n\r\n" % (status, extra, len(body)) + body)

    def lease(self, method, request, writer):
        if method == "DELETE":
            self.fleet.states.pop(request, None)
            writer.write(b"HTTP/1.1 204 No Content\r\n\r\n")
        else:
            self.answer(writer, 404, b"")

    async def attempt(self, request, fields, reader, writer):
        fleet = self.fleet
        fleet.arrivals.append((fleet.record.now(), self.name, request))
        if self.kind == "reader":
            fleet.reads[request] = fleet.reads.get(request, 0) + 1
            fleet.record("%s reads %s" % (self.name, request))
            await asyncio.sleep(self.read_s)
            if writer.is_closing() or reader.at_eof():
                fleet.record("%s dropped %s: its attempt was closed" % (self.name, request))
                return
            fleet.states[request] = self.name
            self.answer(writer, 202, b'{"cached_tokens":0}')
            return
        if fleet.states.pop(request, None) is None:
            fleet.record("%s has no state for %s" % (self.name, request))
            self.answer(writer, 410, b"", b"X-Unprocessed: 1\r\n")
            return
        fleet.runs.setdefault(request, []).append(self.name)
        fleet.record("%s runs %s" % (self.name, request))
        await asyncio.sleep(self.wait_s)
        await self.stream(request, fields, reader, writer)

    def cut(self, request):
        self.fleet.cut.setdefault(request, self.fleet.record.now())
        self.fleet.record("%s: the stream of %s was cut by the dispatcher" % (self.name, request))

    async def stream(self, request, fields, reader, writer):
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n")
        for number in range(self.tokens):
            text = "%s.%d " % (request, number)
            reason = '"stop"' if number == self.tokens - 1 else "null"
            self.event(writer, '{"choices":[{"index":0,"delta":{"content":"%s"},"finish_reason":%s}]}' %
                       (text, reason))
            await asyncio.sleep(self.token_s)
            if writer.is_closing() or reader.at_eof():
                return self.cut(request)
        self.event(writer, '{"choices":[],"usage":{"prompt_tokens":100,"completion_tokens":%d,'
                   '"prompt_tokens_details":{"cached_tokens":0}}}' % self.tokens)
        self.event(writer, "[DONE]")
        writer.write(b"0\r\n\r\n")
        try:
            await writer.drain()
        except ConnectionError:
            return self.cut(request)
        self.fleet.finished[request] = self.fleet.record.now()
        self.fleet.record("%s finished %s" % (self.name, request))

    @staticmethod
    def event(writer, data):
        text = b"data: " + data.encode() + b"\n\n"
        writer.write(b"%x\r\n%s\r\n" % (len(text), text))


# ---- clients ----


def new_id():
    return secrets.token_hex(8)


def request_text(request, service, time_left_ms, body=None, account="delta-hospitals", prompt_tokens=500):
    """Returns a request of the platform's protocol. The body has four characters for each prompt token."""
    if body is None:
        content = "x" * (4 * prompt_tokens)
        body = json.dumps({"model": "chat", "stream": True, "max_tokens": 300,
                           "messages": [{"role": "user", "content": content}]})
    data = body.encode()
    head = ("POST /v1/chat/completions HTTP/1.1\r\nHost: backend.local\r\nX-Correlation-Id: %s\r\n"
            "X-Service-Class: %s\r\nX-Account: %s\r\nX-Session-Key: %s\r\nX-Time-Left-Ms: %d\r\n"
            "X-Facts: prompt_len=%d,max_out=300\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n"
            % (request, service, account, new_id(), time_left_ms, prompt_tokens, len(data)))
    return head.encode() + data


class Answer:
    """What a client saw: the status, the events, and whether the answer was whole."""

    def __init__(self):
        self.status = None  # None: the connection ended without a complete head
        self.events = b""
        self.is_whole = False
        self.keeps = False
        self.first_event_at = None
        self.ended_by = ""


async def read_answer(reader, answer, on_event=None):
    """Reads one response into `answer`. Returns normally also where the connection ends early."""
    try:
        head = await read_head(reader)
        if head is None:
            answer.ended_by = "the connection ended before the answer"
            return
        line, fields = head
        answer.status = int(line.split(" ")[1])
        answer.keeps = fields.get("connection", "").lower() != "close"
        if "chunked" not in fields.get("transfer-encoding", ""):
            answer.events = await read_body(reader, fields)
            answer.is_whole = True
            return
        while True:
            size = int((await reader.readuntil(b"\r\n")).strip(), 16)
            data = await reader.readexactly(size + 2)
            if size == 0:
                answer.is_whole = True
                return
            answer.events += data[:-2]
            if answer.first_event_at is None:
                answer.first_event_at = time.monotonic()
            if on_event:
                on_event()
    except (asyncio.IncompleteReadError, ConnectionError) as error:
        answer.ended_by = type(error).__name__


# ---- dispatchers ----

SETTINGS = {
    "myNumber": 0, "balancers": 1, "my_zone": "za", "myZone": "za", "dcs": ["za"], "granularityMs": 4.0,
    "hostTypes": ["reader", "writer"], "registryMode": "push",
    "categories": [
        {"name": "ask", "repeat": "safe", "objectiveMs": 1200.0, "deadlineMs": 6000.0, "worth": 1.0,
         "lateValue": 0.3, "group": "all", "windowMs": 5000.0, "stream": True},
        {"name": "command", "repeat": "unsafe", "objectiveMs": 800.0, "deadlineMs": 3000.0, "worth": 5.0,
         "lateValue": 0.3, "group": "all", "windowMs": 5000.0, "stream": True}],
    "familyInfo": {"dutyByKind": ["read", "write"], "pinLimitMs": 300.0, "earlyPairing": True, "resume": False,
                   "writersRead": False},
    "limits": {"mostTries": 4, "connectTimeoutMs": 250.0, "idleCloseMs": 15000.0, "mayCancel": True,
               "mayDuplicate": True, "retryAfter": True, "maxRetryAfterMs": 500.0},
    "tenants": [{"name": "delta-hospitals", "quotaRps": 2000.0, "share": 1.0}],
    "guarantees": {"answerSlackMs": 16.0, "drainGraceMs": 250.0, "coldShare": 0.28, "coldMs": 14000.0,
                   "tipMultiple": 4.0, "tipAfterMs": 2000.0},
}


class Folder:
    """A temporary folder with the configuration and $TMPDIR of dispatchers."""

    def __init__(self):
        self.path = tempfile.mkdtemp(prefix="review-")

    def file(self, name, value):
        path = os.path.join(self.path, name)
        with open(path, "w") as file:
            file.write(value if isinstance(value, str) else json.dumps(value, indent=1))
        return path

    def folder(self, name):
        path = os.path.join(self.path, name)
        os.makedirs(path, exist_ok=True)
        return path

    def remove(self):
        shutil.rmtree(self.path, ignore_errors=True)


class Dispatcher:
    """One process of the deploy file's `run` command. Its log goes to a file in the temporary folder."""

    def __init__(self, folder, label, config, tmp, environment=None):
        self.folder, self.label, self.config = folder, label, config
        self.listen = config["listen"]
        self.console = config.get("console")
        path = folder.file(label + ".json", config)
        self.log_path = os.path.join(folder.path, label + ".log")
        self.environment = dict(os.environ, PROXY_CONFIG=path, TMPDIR=tmp, **(environment or {}))
        for name in ("PROXY_NAME", "PROXY_LISTEN", "PROXY_DISCOVERY", "PROXY_CONSOLE"):
            self.environment.pop(name, None)
        self.process = None

    async def start(self):
        with open(self.log_path, "wb") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run_command(), cwd=ROOT, env=self.environment, stdin=asyncio.subprocess.DEVNULL,
                stdout=log, stderr=log)

    def log(self):
        with open(self.log_path) as file:
            return file.read()

    def signal(self, number):
        if self.process.returncode is None:
            self.process.send_signal(number)

    async def wait_ready(self, limit_s=10):
        """Waits until GET /healthz answers 200, or /control/ready where there is a console."""
        path, address = ("/control/ready", self.console) if self.console else ("/healthz", self.listen)
        host, port = address.split(":")
        end = time.monotonic() + limit_s
        while time.monotonic() < end:
            if self.process.returncode is not None:
                return False
            try:
                reader, writer = await asyncio.open_connection(host, int(port))
                writer.write(b"GET %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" % path.encode())
                answer = Answer()
                await asyncio.wait_for(read_answer(reader, answer), 2)
                writer.close()
                if answer.status == 200:
                    return True
            except (OSError, asyncio.TimeoutError):
                pass
            await asyncio.sleep(0.02)
        return False

    async def wait_end(self, limit_s):
        """Returns whether the process ended within the limit."""
        try:
            await asyncio.wait_for(self.process.wait(), limit_s)
            return True
        except asyncio.TimeoutError:
            return False

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            await self.process.wait()


def configuration(name, listen, discovery, known, console=None, settings=None):
    config = {"name": name, "listen": listen, "discovery": discovery, "seed": secrets.token_hex(8),
              "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
              "known": known, "settings": dict(SETTINGS, **(settings or {}))}
    if console:
        config["console"] = console
    return config


def is_trouble():
    """Returns whether the test disturbs anything. run.sh passes the option where TROUBLE=0."""
    return "--without-trouble" not in sys.argv[1:]


def main(test, case_folder):
    """Runs the coroutine test(record). Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run."""
    record = Record(os.path.join(case_folder, "record.txt"))
    if not os.access(os.path.join(ROOT, "build", "llm-dispatcher"), os.X_OK):
        record("couldn't run: build/llm-dispatcher is missing")
        print("couldn't run: build/llm-dispatcher is missing")
        sys.exit(2)
    try:
        code = asyncio.run(asyncio.wait_for(test(record), 112))
    except Exception as error:  # the test itself failed, which says nothing about the rule
        record("couldn't run: %r" % error)
        print("couldn't run: %r" % error)
        code = 2
    record.close()
    sys.exit(code)
