"""An upgrade of the active instance of a VRRP pair, while the instance of higher priority comes back."""
import asyncio
import os
import signal
import socket
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from harness_2 import BROKEN, HELD, TROUBLE, CannotRun, Client, Plan, chat_request, free_port, run, settings
from vrrp_2 import Listener, chat_file, vrrp_file

REQUESTS = 40
DEADLINE_S = 6.0 + 0.5 + 0.05  # of class ask, half a second, and the 50 ms of the protocol page
WAIT_S = 12.0


async def body(case):
    record = case.record
    await case.fleet(Plan())
    shared = ("127.0.0.1", free_port("127.0.0.1"))
    a = ("127.0.0.2", free_port("127.0.0.2", socket.SOCK_DGRAM))
    b = ("127.0.0.3", free_port("127.0.0.3", socket.SOCK_DGRAM))
    listener = await Listener(record, {a: "A", b: "B"}).start("127.0.0.4")
    tap = ("127.0.0.4", listener.port)
    chat = chat_file(shared)
    listen_a = ("127.0.0.2", free_port("127.0.0.2"))
    vrrp_a = vrrp_file(a, [b, tap], 100)
    old = await case.start("A", "n0", listen_a, case.path("tmp-a"), settings(), chat, vrrp_a)
    await case.ready(old)
    for _ in range(100):
        if listener.heard["A"]:
            break
        await asyncio.sleep(0.1)
    if not listener.heard["A"]:
        raise CannotRun("A never became active")

    # B, of higher priority, comes back. It takes over after three intervals and its skew time, 3.2 s.
    listen_b = ("127.0.0.3", free_port("127.0.0.3"))
    other = await case.start("B", "n1", listen_b, case.path("tmp-b"), settings(myNumber=1, balancers=2), chat,
                             vrrp_file(b, [a, tap], 200))
    await case.ready(other)
    await asyncio.sleep(1.5)
    if TROUBLE:  # the process of A is replaced, as the page on upgrades says
        new = await case.start("A2", "n0", listen_a, case.path("tmp-a"), settings(), chat, vrrp_a)
        await case.ready(new, 6)
    for _ in range(60):
        if listener.heard["B"]:
            break
        await asyncio.sleep(0.1)
    if not listener.heard["B"]:
        raise CannotRun("B never became active")
    if TROUBLE:
        await asyncio.sleep(0.3)
        case.signal(old, signal.SIGTERM)
        if not await case.ended(old, 6.7):
            case.signal(old, signal.SIGKILL)
            await old.wait()
    await asyncio.sleep(2)

    first_request = record.now()

    async def ask(number):
        client = Client(record, shared)
        try:
            await client.connect()
        except OSError as error:
            record("request %d: not connected: %r" % (number, error))
            return "not taken"
        sent = record.now()
        client.send(chat_request("ask", "question %d" % number))
        answer = await client.answer(WAIT_S)
        client.close()
        took = (answer.at - sent) / 1000
        outcome = "answered" if answer.status is not None else "closed" if answer.closed else "no answer"
        record("request %d: %s %s after %.2f s" % (number, outcome, answer.status, took))
        if answer.status is not None and took <= DEADLINE_S:
            return "answered"
        return "lost"

    outcomes = await asyncio.gather(*(ask(number) for number in range(REQUESTS)))
    late = [at for at, _ in listener.heard["A"] if at > first_request]
    record("while they were asked, A advertised %d times, B last at %.0f ms" % (len(late), listener.last("B")))
    lost = outcomes.count("lost")
    text = "%d requests on connections to the shared address: %d answered, %d never answered, %d not connected" % (
        REQUESTS, outcomes.count("answered"), lost, outcomes.count("not taken"))
    record(text)
    print(text)
    return BROKEN if lost else HELD


run(__file__, body)
