"""A replica hangs in the middle of a stream, and the process of the dispatcher is replaced meanwhile."""
import asyncio
import os
import signal
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from harness_2 import BROKEN, HELD, TROUBLE, CannotRun, Client, Plan, free_port, platform_request, run, settings

LIMIT_S = 5.0 + 0.05  # the page's 5 s, and 50 ms more for each time limit on sockets
HANGS_AFTER = 10      # events


class Hanging(Plan):
    """Streams of command requests hang after some events: no reset and no answer for the rest of the run. The
    replica runs on and answers everything else."""

    def events(self, body):
        return 40

    def gap_ms(self, replica, body, number):
        return 1000 * 100 if b"c0ffee" in body and number + 1 == HANGS_AFTER else 50


async def body(case):
    record = case.record
    await case.fleet(Hanging())
    listen = ("127.0.0.1", free_port("127.0.0.1"))
    old = await case.start("old", "n0", listen, case.path("tmp"), settings())
    await case.ready(old)
    await asyncio.sleep(0.5)
    clients, requests = [], ["c0ffee%010x" % number for number in range(4)]
    for request in requests:
        client = await Client(record, listen).connect()
        client.send(platform_request(request, "command", prompt_tokens=200))
        clients.append(client)
    answers = [asyncio.ensure_future(client.answer(25)) for client in clients]
    good = await Client(record, listen).connect()
    await asyncio.sleep(3.0)
    if TROUBLE:  # the process is replaced as the pages say: ready (within 6 s), then SIGTERM
        new = await case.start("new", "n0", listen, case.path("tmp"), settings())
        await case.ready(new, 6)
        await asyncio.sleep(0.5)
        case.signal(old, signal.SIGTERM)
    # The replicas run: they answer other requests meanwhile.
    served = 0
    for number in range(6):
        other = await Client(record, listen).connect()
        other.send(platform_request("ab%014x" % number, "ask"))
        answer = await other.answer(8)
        other.close()
        record("request %d of the meantime: status %s, whole: %s" % (number, answer.status, answer.whole))
        served += answer.whole and answer.status == 200
    good.close()
    if TROUBLE and not await case.ended(old, 6.7):
        case.signal(old, signal.SIGKILL)
        await old.wait()
    late = 0
    for request, answer in zip(requests, await asyncio.gather(*answers)):
        if answer.status != 200 or len(answer.event_times) < 2:
            raise CannotRun("the stream of %s did not begin: %s" % (request, answer.status))
        waited = (answer.at - answer.event_times[-1]) / 1000
        ended = "ended with the last chunk" if answer.whole else "ended" if answer.closed else "still open"
        record("%s: %d pieces, last one at %.0f ms, then %s after %.2f s"
               % (request, len(answer.event_times), answer.event_times[-1], ended, waited))
        late += answer.whole or waited > LIMIT_S
    if served < 3:
        raise CannotRun("the replicas did not answer other requests")
    text = "%d of %d clients were left waiting over %.2f s after their replica's last event" % (
        late, len(requests), LIMIT_S)
    record(text)
    print(text)
    return BROKEN if late else HELD


run(__file__, body)
