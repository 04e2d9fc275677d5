"""The active instance of a VRRP pair pauses, the other one takes over, and the first one returns."""
import asyncio
import os
import signal
import socket
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from harness_2 import BROKEN, HELD, TROUBLE, CannotRun, Client, Plan, chat_request, free_port, run, settings
from vrrp_2 import Listener, chat_file, vrrp_file

INTERVAL_CS = 50
DOWN_S = 3 * 0.5 + 0.5  # no longer than the time after which the protocol itself calls a silent router failed
PAUSE_S = 3.0
PROMPTLY_S = 5.0
ASK_FOR_S = 15.0


class LongFirst(Plan):
    """The first answer is long: 10 s, an event each 100 ms. The others are short."""

    def events(self, body):
        return 100 if b"a long answer" in body else 4

    def gap_ms(self, replica, body, number):
        return 100 if b"a long answer" in body else 30


async def body(case):
    record = case.record
    await case.fleet(LongFirst())
    writers = [replica for replica in case.replicas if replica.kind == "writer"]
    shared = ("127.0.0.1", free_port("127.0.0.1"))
    a = ("127.0.0.2", free_port("127.0.0.2", socket.SOCK_DGRAM))
    b = ("127.0.0.3", free_port("127.0.0.3", socket.SOCK_DGRAM))
    listener = await Listener(record, {a: "A", b: "B"}).start("127.0.0.4")
    tap = ("127.0.0.4", listener.port)
    chat = chat_file(shared)
    processes = []
    for label, number, own, peer in (("A", 0, a, b), ("B", 1, b, a)):
        listen = (own[0], free_port(own[0]))
        process = await case.start(label, "n%d" % number, listen, case.path("tmp-" + label),
                                   settings(myNumber=number, balancers=2), chat,
                                   vrrp_file(own, [peer, tap], 100, INTERVAL_CS))
        await case.ready(process)
        processes.append(process)
        if label == "A":
            for _ in range(100):
                if listener.heard["A"]:
                    break
                await asyncio.sleep(0.1)
            if not listener.heard["A"]:
                raise CannotRun("A never became active")
    await asyncio.sleep(1)
    if listener.heard["B"]:
        raise CannotRun("B is active too")

    # A client of A, the only one that listens at the shared address: its connection carries a long answer.
    client = await Client(record, shared).connect()
    client.send(chat_request("ask", "a long answer"))
    await asyncio.sleep(1)
    if TROUBLE:
        case.signal(processes[0], signal.SIGSTOP)
        await asyncio.sleep(PAUSE_S)
        case.signal(processes[0], signal.SIGCONT)
    answer = await client.answer(20)
    record("the long answer: status %s, whole: %s" % (answer.status, answer.whole))
    if not answer.whole:
        raise CannotRun("the long answer did not come to its end")

    # The same client goes on with its connection, one request at a time, as clients that keep connections do.
    taken = []
    end = record.now() + 1000 * ASK_FOR_S
    number = 0
    while record.now() < end:
        number += 1
        name = "command number %d" % number
        sent = record.now()
        client.send(chat_request("command", name))
        answer = await client.answer(5)
        ran = [replica.name for replica in writers for _, _, text in replica.attempts if name.encode() in text]
        record("%s sent at %.0f ms on the connection to A: status %s, whole: %s, ran at %s"
               % (name, sent, answer.status, answer.whole, ran))
        if answer.closed or not answer.whole:
            break
        if ran:
            taken.append(sent)
        if answer.fields.get("connection", "").lower() == "close":
            break
        await asyncio.sleep(0.5)
    client.close()

    last_of_a, last_of_b = listener.last("A"), listener.last("B")
    record("last advertisement of A at %s ms, of B at %s ms" % (last_of_a, last_of_b))
    if last_of_b is None:
        stale = []  # A stayed the only active instance
    else:
        # B is active to the end. A counts as no longer active once its last advertisement is DOWN_S old.
        if record.now() - last_of_b > 1000 * DOWN_S or record.now() - last_of_a < 1000 * DOWN_S:
            raise CannotRun("the pair did not settle with B as the active instance")
        stale = [sent for sent in taken if sent > last_of_a + 1000 * (DOWN_S + PROMPTLY_S)]
    text = "%d commands ran for A's client after the long answer, %d of them sent over %.0f s after A ceased to be active" % (
        len(taken), len(stale), PROMPTLY_S)
    record(text)
    print(text)
    return BROKEN if stale else HELD


run(__file__, body)
