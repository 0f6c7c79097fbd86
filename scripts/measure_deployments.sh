#!/usr/bin/env bash
# Runs one measurement of the program measure for both deployments, or for the one that the option
# --deployment names. Other options are passed on; see `measure --help`.
# Exit code 1: a bound is broken.
# Usage: scripts/measure_deployments.sh failover|reads [OPTIONS...]
set -euo pipefail
cd "$(dirname "$0")/.."
measurement=$1
shift
cmake -G Ninja -S . -B build >/dev/null
ninja -C build -j"${TARRAGONDALE_JOBS:-3}" measure >/dev/null
commit=$(git rev-parse --short HEAD)
git diff --quiet HEAD || commit=$commit-modified
deployments=(lin-shun-fa blue-mahoe)
options=()
for each in "$@"; do
  case "$each" in
    --deployment=*) deployments=("${each#*=}") ;;
    *) options+=("$each") ;;
  esac
done
code=0
for each in "${deployments[@]}"; do
  build/src/measure "$measurement" --deployment="$each" --commit="$commit" \
    "${options[@]}" || code=1
done
exit "$code"
