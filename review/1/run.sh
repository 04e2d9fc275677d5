#!/bin/sh
# Replaces the process of three dispatchers again and again under load. Exits with 1 if a stream was cut, with 0 if none
# was, and with 2 if the case couldn't run. TROUBLE=0: the same load, and no process is replaced.
if [ "${TROUBLE:-1}" = 0 ]; then set -- --without-trouble; else set --; fi
exec python3 "$(dirname "$0")/case.py" "$@"
