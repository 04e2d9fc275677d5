#!/bin/sh
# The stand-ins of the cases 6 to 10 are Python programs (standard library alone): nothing to compile. This checks that
# they can be started.
cd "$(dirname "$0")" || exit 1
exec python3 -B -c '
import ast, asyncio
for path in ["harness_2.py", "vrrp_2.py"] + (["%d/case.py" % case for case in range(6, 11)]):
    ast.parse(open(path).read(), path)
'
