#!/usr/bin/env bash
# Builds and runs all tests, with and without the sanitizers, and the package's consumer test. Failures that
# KNOWN-RED.txt lists are printed and tolerated (see tests/known_red.py).
set -euo pipefail
cd "$(dirname "$0")/.."
flags="-DDISPATCHER_TESTS=ON -DDISPATCHER_WERROR=ON -DCMAKE_EXPORT_COMPILE_COMMANDS=ON"
cmake -B build-ci -DCMAKE_BUILD_TYPE=Release -DDISPATCHER_BENCH=ON $flags
cmake --build build-ci -j"$(nproc)"
bash tests/consumer/run.sh build-ci
build-ci/llm-dispatcher version
# Uses -O1 because fully optimizing the sanitizers' checks in Boost's templates takes minutes.
cmake -B build-ci-san -DCMAKE_BUILD_TYPE=Debug -DCMAKE_CXX_FLAGS=-O1 -DDISPATCHER_SANITIZE=ON $flags
cmake --build build-ci-san -j"$(nproc)"
tests/known_red.py run build-ci-san -j"$(nproc)"
tests/known_red.py run build-ci -j"$(nproc)"
