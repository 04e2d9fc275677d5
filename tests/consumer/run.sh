#!/usr/bin/env bash
# Installs the package from a build folder, then builds the consumer against it and runs it.
set -euo pipefail
here=$(cd "$(dirname "$0")" && pwd)
build=$(cd "$1" && pwd)
cmake --install "$build" --prefix "$build/installed" >/dev/null
cmake -S "$here" -B "$build/consumer" -DCMAKE_PREFIX_PATH="$build/installed" -DCMAKE_BUILD_TYPE=Release \
  -DCMAKE_EXPORT_COMPILE_COMMANDS=ON >/dev/null
cmake --build "$build/consumer"
"$build/consumer/consumer"
