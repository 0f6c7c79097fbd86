#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review-2
mkdir -p "$out"
compile() {
  g++ -std=c++20 -O1 -Wall -Wextra -I. -c "review/standin-2/$1.cc" -o "$out/$1.o"
}
common=(lines record service store group fleet play)
cases=(crowd_main slow_reader_main slow_platform_main stray_entry_main
  lost_primary_main)
for unit in "${common[@]}" "${cases[@]}"; do
  compile "$unit" &
done
for job in $(jobs -p); do
  wait "$job"
done
for name in "${cases[@]}"; do
  objects=()
  for unit in "${common[@]}"; do
    objects+=("$out/$unit.o")
  done
  g++ "$out/$name.o" "${objects[@]}" -pthread -o "$out/${name%_main}"
done
