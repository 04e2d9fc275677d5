"""One replica is slow, and its memory runs out: its newest answer is read anew there before it goes on."""
import asyncio
import os
import sys

sys.dont_write_bytecode = True
sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
from harness_2 import BROKEN, HELD, TROUBLE, CannotRun, Client, Plan, free_port, platform_request, run, settings

SLOWER = 8.5             # times; the page's limit is 8.9
READ_PER_S = 8900        # prompt tokens that a writer reads a second, the most that the page names
PROMPT_TOKENS = 5000     # up to 4,400 of the shared text, and 300 for each turn
COMMANDS = 8
EVENTS = 20              # of 4 tokens each: 80 tokens, as commands are answered with
LIMIT_S = 5.0            # for which a client may be left waiting after a running replica's last event
PUT_BACK_AFTER = 8       # events


class OutOfMemory(Plan):
    """An event each 100 ms. The newest answer of one writer goes back into its queue after some events, is read anew
    (its prompt and what was written), and goes on from there. While that writer is slow, it does all of this SLOWER
    times slower."""
    newest = None   # the body's mark of the answer that is put back
    slow = None

    def factor(self, replica):
        return SLOWER if TROUBLE and replica.name == self.slow else 1.0

    def events(self, body):
        return EVENTS

    def gap_ms(self, replica, body, number):
        if self.newest and self.newest in body and number + 1 == PUT_BACK_AFTER:
            return self.read_again_s(replica) * 1000
        return 100 * self.factor(replica)

    def read_again_s(self, replica):
        return PROMPT_TOKENS / READ_PER_S * self.factor(replica)


async def body(case):
    record = case.record
    plan = OutOfMemory()
    await case.fleet(plan, readers=3, writers=4)  # 1 of 7 is slow, 14%; the page's limit is 24%
    writers = [replica for replica in case.replicas if replica.kind == "writer"]
    listen = ("127.0.0.1", free_port("127.0.0.1"))
    process = await case.start("n0", "n0", listen, case.path("tmp"), settings())
    await case.ready(process)
    await asyncio.sleep(0.5)
    clients, ids, answers = [], ["c0de%012x" % number for number in range(COMMANDS)], []
    for request in ids:
        client = await Client(record, listen).connect()
        client.send(platform_request(request, "command", PROMPT_TOKENS))
        clients.append(client)
        answers.append(asyncio.ensure_future(client.answer(60)))
        await asyncio.sleep(0.05)
    for _ in range(100):
        if sum(len(writer.attempts) for writer in writers) >= COMMANDS:
            break
        await asyncio.sleep(0.01)
    newest = max(((at, request, writer) for writer in writers for at, request, _ in writer.attempts),
                 key=lambda attempt: attempt[0])
    _, victim, writer = newest
    plan.slow, plan.newest = writer.name, victim.encode()
    gap_s = plan.read_again_s(writer)
    record("%s %s, and its memory runs out: %s goes back into its queue after %d events and is read anew in %.2f s"
           % (writer.name, "is %.1f times slower" % SLOWER if TROUBLE else "is as fast as ever", victim,
              PUT_BACK_AFTER, gap_s))
    if gap_s >= LIMIT_S:
        raise CannotRun("the gap is beyond the limit")
    lost = 0
    for request, answer, client in zip(ids, await asyncio.gather(*answers), clients):
        client.close()
        cuts = [(replica.name, events) for replica in writers for other, events, _ in replica.cuts if other == request]
        whole = answer.whole and b"[DONE]" in answer.body
        record("%s: status %s, whole: %s, cut at its replica: %s, last bytes at %.0f ms, end at %.0f ms"
               % (request, answer.status, whole, cuts, (answer.event_times or [0])[-1], answer.at))
        if answer.status == 200 and not whole and cuts:
            lost += 1
        if answer.status is None:
            raise CannotRun("%s has no answer" % request)
    text = "%d of %d commands had their stream cut before their replica's next event, due %.2f s after the last one" % (
        lost, COMMANDS, gap_s)
    record(text)
    print(text)
    return BROKEN if lost else HELD


run(__file__, body)
