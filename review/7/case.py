"""A burst of requests on the platform's front, while the chat front is on."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from harness_2 import BROKEN, HELD, TROUBLE, Client, Plan, free_port, platform_request, run, settings

SOCKETS = 512
USUAL = 80            # clients with a request in progress
BURST = 2             # times the usual, in the burst
DEADLINE_S = 6.0      # of class ask
LATE_S = 0.5 + 0.05   # until then an answer is only late


class LongAnswers(Plan):
    """About 230 tokens at 60 ms each: 14 s."""

    def events(self, body):
        return 28

    def gap_ms(self, replica, body, number):
        return 500


async def body(case):
    record = case.record
    await case.fleet(LongAnswers(), readers=5, writers=6)
    listen = ("127.0.0.1", free_port("127.0.0.1"))
    front = ("127.0.0.1", free_port("127.0.0.1"))
    chat = {"listen": "%s:%d" % front, "account": "delta-hospitals",
            "models": [{"id": "ask", "class": "ask"}, {"id": "command", "class": "command"}]}
    process = await case.start("n0", "n0", listen, case.path("tmp"), settings(), chat, sockets=SOCKETS)
    await case.ready(process)
    await asyncio.sleep(0.5)

    async def ask(number):
        """One request on a connection of its own. Returns how long its first byte of an answer took, or None."""
        client = await Client(record, listen).connect()
        sent = record.now()
        client.send(platform_request("%016x" % (number + 1), "ask", 500, int(1000 * DEADLINE_S)))
        answer = asyncio.ensure_future(client.answer(40))
        first = None
        while first is None and not answer.done():
            await asyncio.sleep(0.02)
            if client.begun:
                first = (record.now() - sent) / 1000
            elif (record.now() - sent) / 1000 > DEADLINE_S + LATE_S:
                break  # the client gives up
        if first is None and not answer.done():
            answer.cancel()
            client.close()
            record("request %d, sent at %.0f ms: nothing came in %.2f s, and its client leaves" % (number, sent, (record.now() - sent) / 1000))
            return None
        result = await answer
        client.close()
        if first is None:
            first = (result.at - sent) / 1000
        record("request %d, sent at %.0f ms: status %s, whole: %s, answer began after %.2f s"
               % (number, sent, result.status, result.whole, first))
        return first if result.status is not None else None

    async def arrivals(first, count, seconds):
        tasks = []
        for number in range(first, first + count):
            tasks.append(asyncio.ensure_future(ask(number)))
            await asyncio.sleep(seconds / count)
        return tasks

    tasks = await arrivals(0, USUAL, 4)
    record("%d clients have a request in progress" % USUAL)
    if TROUBLE:
        tasks += await arrivals(USUAL, (BURST - 1) * USUAL, 3)
        record("%d clients have a request in progress" % (BURST * USUAL))
    times = await asyncio.gather(*tasks)
    lost = [number for number, time in enumerate(times) if time is None or time > DEADLINE_S + LATE_S]
    text = "%d requests, at most %d at once (a third of the descriptors is %d): %d without an answer in time" % (
        len(times), len(times), SOCKETS // 3, len(lost))
    record(text)
    print(text)
    return BROKEN if lost else HELD


run(__file__, body)
