#!/usr/bin/env bash
# Builds the fuzz targets with clang and libFuzzer and runs each for a fixed number of inputs from a fixed seed.
#   fuzz/run.sh [INPUTS]
set -euo pipefail
cd "$(dirname "$0")/.."
inputs=${1:-20000}
cmake -B build-fuzz -DCMAKE_CXX_COMPILER=clang++-14 -DCMAKE_BUILD_TYPE=RelWithDebInfo -DDISPATCHER_FUZZ=ON \
  -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
cmake --build build-fuzz -j"$(nproc)" --target cue_fuzz expression_fuzz gossip_fuzz
for target in cue expression gossip; do
  mkdir -p "build-fuzz/found-$target"
  "build-fuzz/fuzz/${target}_fuzz" -seed=1 -runs="$inputs" -max_len=4096 -timeout=10 -rss_limit_mb=2048 -verbosity=0 \
    -print_final_stats=1 "build-fuzz/found-$target" "fuzz/corpus/$target" 2>&1 | grep -E "number_of|ERROR|Test unit" || true
  test "${PIPESTATUS[0]}" -eq 0
done
