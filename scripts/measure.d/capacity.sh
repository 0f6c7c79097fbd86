#!/usr/bin/env bash
# Runs the program capacity and prints its figures, then the table of
# docs/CAPACITY.md. Argument: seed (default 1). The JSON stays in the build
# folder (TARRAGONDALE_BUILD, default: build).
set -euo pipefail
cd "$(dirname "$0")/../.."
build=${TARRAGONDALE_BUILD:-build}

json="$build/capacity.json"
# Empty if the build folder has the default of CMakeLists.txt.
type=$(sed -n 's/^CMAKE_BUILD_TYPE:[A-Z]*=//p' "$build/CMakeCache.txt")
echo "commit $(git rev-parse --short HEAD), $(nproc) cores," \
  "load $(cut -d' ' -f1-3 /proc/loadavg)," \
  "${type:-RelWithDebInfo}," \
  "seed ${1:-1}"
"$build/src/capacity" --seed="${1:-1}" --json="$json"
echo
scripts/capacity_table.sh "$json"
