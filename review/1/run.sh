#!/bin/sh
# Replaces the process of three dispatchers again and again under load. Exits with 1 if a stream was cut.
exec python3 "$(dirname "$0")/case.py"
