#!/usr/bin/env bash
# Builds the stand-ins and scenarios of the review into target/review/, with
# the packages of the deploy file only.
set -euo pipefail
cd "$(dirname "$0")/.."
out=target/review
mkdir -p "$out"
flags=(-std=c++20 -O1 -Wall -Wextra -pthread -I.)
objects=()
compile() {
  g++ "${flags[@]}" -c "$1" -o "$out/$(basename "$1" .cc).o"
}
for source in review/standin/*.cc; do
  compile "$source" &
done
for job in $(jobs -p); do
  wait "$job"
done
for source in review/standin/*.cc; do
  case $source in
  *_main.cc) ;;
  *) objects+=("$out/$(basename "$source" .cc).o") ;;
  esac
done
for source in review/standin/*_main.cc; do
  name=$(basename "$source" _main.cc)
  g++ -pthread "$out/${name}_main.o" "${objects[@]}" -o "$out/$name"
done
