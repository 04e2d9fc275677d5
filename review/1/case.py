"""Case 1: streams that a process hands over to its successor right before it ends are cut."""
import asyncio
import os
import signal
import sys
import time

sys.path.insert(0, os.path.join(os.path.dirname(os.path.abspath(__file__)), ".."))
sys.dont_write_bytecode = True
from standins import (Answer, Discovery, Dispatcher, Fleet, Folder, Replica, configuration, free_port, is_trouble,
                      main, new_id, read_answer, request_text)

DISPATCHERS = 3
RATE = 40  # requests a second at each dispatcher: the pages speak of some tens
RUN_S = 95  # the load's duration
ENOUGH = 3  # the test ends early once so many streams were cut
SIGKILL_AFTER_S = 6.0 + 0.7  # the longest deadline of the settings, and 0.7 s more
PAUSE_S = 0.3  # from the end of one replacement to the start of the next


class Progress:
    """Ends the test when its time is over or when enough streams were cut."""

    def __init__(self):
        self.end = time.monotonic() + RUN_S
        self.cut = self.replaced = self.killed = 0
        self.started = asyncio.Semaphore(0)

    def is_over(self):
        return time.monotonic() >= self.end or self.cut >= ENOUGH


class Load:
    """Clients that keep their connections and send one request at a time on each."""

    def __init__(self, record, address, progress):
        self.record, self.address, self.progress = record, address, progress
        self.idle = []
        self.results = []  # (id, Answer)
        self.tasks = set()

    async def run(self):
        next_at = time.monotonic()
        while not self.progress.is_over():
            task = asyncio.create_task(self.request(new_id(), "command" if len(self.results) % 3 == 0 else "ask"))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)
            next_at += 1 / RATE
            await asyncio.sleep(max(0, next_at - time.monotonic()))
        while self.tasks:
            await asyncio.wait(set(self.tasks))

    async def connect(self):
        host, port = self.address.split(":")
        return await asyncio.open_connection(host, int(port), limit=1 << 20)

    async def request(self, request, service):
        answer = Answer()
        self.record("client sends %s %s to %s" % (service, request, self.address))
        for attempt in range(3):  # a request whose connection is closed unread is sent once more on a new one
            while self.idle and (self.idle[-1][0].at_eof() or self.idle[-1][1].is_closing()):
                self.idle.pop()[1].close()
            connection = self.idle.pop() if self.idle and attempt == 0 else None
            try:
                reader, writer = connection or await self.connect()
            except OSError:
                await asyncio.sleep(0.05)
                continue
            answer = Answer()
            writer.write(request_text(request, service, 6000 if service == "ask" else 3000, prompt_tokens=100))
            await read_answer(reader, answer)
            if answer.is_whole and answer.keeps:
                self.idle.append((reader, writer))
            else:
                writer.close()
            if answer.status is not None:
                break
        self.results.append((request, answer))
        self.record("client of %s: status %s, %d bytes, %s" %
                    (request, answer.status, len(answer.events), "whole" if answer.is_whole else answer.ended_by))
        self.progress.cut += answer.status == 200 and not answer.is_whole


async def replace_again_and_again(record, folder, number, address, discovery, processes, progress):
    """Replaces the dispatcher's process until the test ends. Without trouble, starts it once."""
    name = "n%d" % number
    tmp = folder.folder("tmp-" + name)

    async def start(generation):
        config = configuration(name, address, discovery.address, discovery.whole(),
                               console="127.0.0.1:%d" % free_port())
        process = Dispatcher(folder, "%s-%d" % (name, generation), config, tmp)
        processes.append(process)
        await process.start()
        if not await process.wait_ready():
            raise RuntimeError("%s is not ready: %s" % (process.label, process.log()))
        record("%s is ready" % process.label)
        return process

    current = await start(0)
    progress.started.release()
    generation = 0
    while is_trouble() and not progress.is_over():
        await asyncio.sleep(PAUSE_S)
        generation += 1
        successor = await start(generation)
        record("SIGTERM to %s" % current.label)
        current.signal(signal.SIGTERM)
        if not await current.wait_end(SIGKILL_AFTER_S):
            record("SIGKILL to %s" % current.label)
            progress.killed += 1
            await current.end()
        record("%s has ended with status %s" % (current.label, current.process.returncode))
        progress.replaced += 1
        current = successor


async def test(record):
    folder, processes = Folder(), []
    progress = Progress()
    fleet = Fleet(record)
    discovery = Discovery()
    try:
        await discovery.start()
        for kind in ("reader", "writer"):
            for index in range(3):
                replica = Replica(fleet, "%s%d" % (kind, index), kind, read_s=0.03, tokens=10, token_s=0.12)
                await replica.start()
                discovery.add(replica)
        addresses = ["127.0.0.1:%d" % free_port() for _ in range(DISPATCHERS)]
        tasks = [asyncio.create_task(replace_again_and_again(record, folder, number, address, discovery, processes,
                                                             progress))
                 for number, address in enumerate(addresses)]
        for _ in range(DISPATCHERS):
            await asyncio.wait_for(progress.started.acquire(), 15)
        loads = [Load(record, address, progress) for address in addresses]
        await asyncio.gather(*(load.run() for load in loads))
        await asyncio.gather(*tasks)
    finally:
        for process in processes:
            await process.end()
        folder.remove()
    results = [result for load in loads for result in load.results]
    served = sum(1 for _, answer in results if answer.status == 200 and answer.is_whole)
    cut = [request for request, answer in results if answer.status == 200 and not answer.is_whole]
    refused = sum(1 for _, answer in results if answer.status not in (200, None))
    unread = sum(1 for _, answer in results if answer.status is None)
    summary = ("%d processes replaced (%d by SIGKILL), %d requests: %d served, %d refused or failed, %d without an "
               "answer, %d streams cut" % (progress.replaced, progress.killed, len(results), served, refused,
                                           unread, len(cut)))
    for request in cut:
        record("cut: %s; at its writer: %s" % (request, "cut" if request in fleet.cut else "finished"))
    record(summary)
    print(summary)
    if progress.killed or served == 0:
        return 2  # what a killed process held is not lost by this rule
    return 1 if cut else 0


main(test, os.path.dirname(os.path.abspath(__file__)))
