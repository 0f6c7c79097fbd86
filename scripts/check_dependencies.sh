#!/usr/bin/env bash
# Checks that each Debian package whose headers the sources include stands in
# scripts/dependencies.sh and, for what the daemon includes, in the packages of
# deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."

# Comes with the compiler.
readonly toolchain='^(libc6-dev|linux-libc-dev|libstdc\+\+-[0-9]+-dev|libgcc-[0-9]+-dev)$'
# Folders that only tests, stand-ins and measurements use.
readonly test_only='^src/(standin|measure|capacity|system|fault_matrix|ctl)/|_test\.cc$|_test\.h$|_benchmark\.cc$'

# packages_of FILES...: the packages whose headers they include.
packages_of() {
  local header path
  grep -hoE '^#include <[^>]+>' "$@" | sed -E 's/#include <(.*)>/\1/' | sort -u |
    while read -r header; do
      for path in "/usr/include/$header" "/usr/include/$(uname -m)-linux-gnu/$header" \
        "/usr/include/postgresql/$header"; do
        if [ -e "$path" ]; then
          dpkg -S "$path" | cut -d: -f1
          break
        fi
      done
    done | sed -E 's/^libboost[0-9.]+-dev$/libboost-dev/' | sort -u |
    grep -vE "$toolchain" || true
}

# require LIST FILE: each package on standard input must stand in FILE.
require() {
  local package missing=0
  while read -r package; do
    if ! grep -qE "(^|[ \"])$package([ \"]|\$)" "$1"; then
      echo "$1 does not list $package"
      missing=1
    fi
  done
  return "$missing"
}

mapfile -t all < <(git ls-files -co --exclude-standard '*.cc' '*.h')
mapfile -t daemon < <(printf '%s\n' "${all[@]}" | grep -vE "$test_only")
packages_of "${all[@]}" | require scripts/dependencies.sh
packages_of "${daemon[@]}" | require deploy/system.toml
echo "all packages are listed"
