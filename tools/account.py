#!/usr/bin/env python3
"""Summarises a fleet's requests by outcome, from the logs of `llm-dispatcher --log-requests`.

    tools/account.py FOLDER [--aim ask=1200:40,command=800:60] [--by SECONDS] [--hosts]

FOLDER holds one file per dispatcher. --aim gives the latency objective of each class, in ms and in ms per 1,000 prompt
tokens. Prints, for each interval of --by seconds, how requests ended and what delayed the late ones most: the time at
readers, at writers, failed attempts, or waiting for an endpoint. With --hosts, prints the attempts of each endpoint as well.
"""
import argparse
import collections
import pathlib
import re

LINE = re.compile(r"(?:^|\s)(\d+\.\d+) request (\S+) (\w+) ?(.*)$")


def read_requests(folder):
    """Returns the requests of all log files in the folder, in the order of their arrival."""
    requests = collections.OrderedDict()
    lines = []
    for file in sorted(pathlib.Path(folder).iterdir()):
        for text in file.read_text(errors="replace").splitlines():
            found = LINE.search(text)
            if found:
                lines.append((float(found[1]), file.stem, found[2], found[3], found[4]))
    lines.sort(key=lambda line: line[0])
    for at, node, name, what, rest in lines:
        facts = dict(part.split("=", 1) for part in rest.split() if "=" in part)
        if what == "taken":
            requests[node, name] = {"at": at, "node": node, "facts": facts, "attempts": [], "end": None, "first": None}
        request = requests.get((node, name))
        if request is None:
            continue
        if what == "sent":
            request["attempts"].append({"host": facts["host"], "at": at, "end": None, "verdict": "unfinished"})
        elif what == "first":
            request["first"] = at
        elif what == "ended":
            attempt = request["attempts"][int(facts["attempt"])]
            attempt.update(end=at, verdict=facts["verdict"])
        elif what == "answered":
            request["end"] = (at, rest.split()[0])
    return list(requests.values())


def classify_outcome(request, objectives):
    """Returns how the request ended and, if it was late, what took longest."""
    base, slope = objectives[request["facts"]["class"]]
    objective = base + slope * int(request["facts"]["prompt"]) / 1000
    if request["first"] is not None:
        elapsed_ms = 1000 * (request["first"] - request["at"])
        if elapsed_ms <= objective:
            stream_broke = request["attempts"][-1]["verdict"] not in ("served", "unfinished")
            return "stream broke" if stream_broke else "in time"
        time_by_cause = collections.Counter()
        for n, attempt in enumerate(request["attempts"]):
            last = n == len(request["attempts"]) - 1
            end = request["first"] if last else attempt["end"] or request["first"]
            kind = "writing" if last else {"read": "reading"}.get(attempt["verdict"], attempt["verdict"])
            time_by_cause[kind] += end - attempt["at"]
        time_by_cause["waiting for an endpoint"] = request["first"] - request["at"] - sum(time_by_cause.values())
        return "late: " + time_by_cause.most_common(1)[0][0]
    how = request["end"][1] if request["end"] else "open at the end"
    if not request["attempts"]:
        return how + " at once"
    return how + " after " + "+".join(a["verdict"] for a in request["attempts"])


def main():
    options = argparse.ArgumentParser(description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter)
    options.add_argument("folder")
    options.add_argument("--aim", default="ask=1200:40,command=800:60")
    options.add_argument("--by", type=float, default=5)
    options.add_argument("--hosts", action="store_true")
    arguments = options.parse_args()
    objectives = {}
    for part in arguments.aim.split(","):
        name, _, figures = part.partition("=")
        objectives[name] = tuple(float(x) for x in figures.split(":"))
    requests = read_requests(arguments.folder)
    if not requests:
        raise SystemExit("no requests in " + arguments.folder)
    start = requests[0]["at"]
    table = collections.defaultdict(collections.Counter)
    for request in requests:
        interval = int((request["at"] - start) // arguments.by)
        table[classify_outcome(request, objectives)][interval] += 1
    intervals = range(1 + max(max(row) for row in table.values()))
    print(f"{'from, s':48}" + "".join(f"{int(s * arguments.by):6}" for s in intervals) + "   all")
    for name, row in sorted(table.items(), key=lambda kv: -sum(kv[1].values())):
        print(f"{name:48}" + "".join(f"{row[s]:6}" for s in intervals) + f"{sum(row.values()):6}")
    if arguments.hosts:
        hosts = collections.defaultdict(lambda: [0, collections.Counter(), 0.0, 0, None, None])
        for request in requests:
            for n, attempt in enumerate(request["attempts"]):
                host = hosts[attempt["host"]]
                host[0] += 1
                host[1][attempt["verdict"]] += 1
                end = attempt["end"] if attempt["verdict"] == "read" else request["first"]
                if end:
                    host[2] += end - attempt["at"]
                    host[3] += 1
                host[4] = min(attempt["at"], host[4] or attempt["at"])
                host[5] = max(attempt["at"], host[5] or 0)
        print(f"\n{'endpoint':14}{'sends':>7}{'ms':>8}  from   to  verdicts")
        for name, (sends, verdicts, total, n, first, last) in sorted(hosts.items(), key=lambda kv: -kv[1][0]):
            mean = 1000 * total / n if n else 0
            print(f"{name:14}{sends:7}{mean:8.0f}{first - start:6.1f}{last - start:6.1f}  {dict(verdicts)}")


if __name__ == "__main__":
    main()
