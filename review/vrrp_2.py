"""A third VRRP peer that only listens: it sees who advertises, as any member of the virtual router does."""
import asyncio


class Listener(asyncio.DatagramProtocol):
    def __init__(self, record, names):
        self.record, self.names = record, names  # names: label of each (address, port)
        self.heard = {label: [] for label in names.values()}  # (milliseconds, priority)

    async def start(self, address):
        loop = asyncio.get_running_loop()
        transport, _ = await loop.create_datagram_endpoint(lambda: self, local_addr=(address, 0))
        self.port = transport.get_extra_info("sockname")[1]
        return self

    def datagram_received(self, data, sender):
        label = self.names.get(sender)
        if label is None or len(data) < 8 or data[0] != 0x31:
            return
        if not self.heard[label]:
            self.record("%s advertises that it is active (priority %d)" % (label, data[2]))
        self.heard[label].append((self.record.now(), data[2]))

    def last(self, label):
        return self.heard[label][-1][0] if self.heard[label] else None


def vrrp_file(own, peers, priority, interval_cs=100):
    return {"listen": "%s:%d" % own, "peers": ["%s:%d" % peer for peer in peers], "vrid": 1, "priority": priority,
            "interval_cs": interval_cs, "preempt": True, "addresses": ["127.0.0.1"]}


def chat_file(address):
    return {"listen": "%s:%d" % address, "account": "delta-hospitals",
            "models": [{"id": "ask", "class": "ask"}, {"id": "command", "class": "command"}]}
