#!/usr/bin/env bash
# Runs the fault matrix, then the programs with one broken guard each, in which
# the checker must find violations. Usage:
#   fault_matrix.sh [--seed=N] [--report=PATH] [--build=FOLDER] [--no-mutants]
set -euo pipefail
cd "$(dirname "$0")/.."
seed=1 build=build mutants=yes report=()
for option in "$@"; do
  case $option in
    --seed=*) seed=${option#*=} ;;
    --report=*) report=("$option") ;;
    --build=*) build=${option#*=} ;;
    --no-mutants) mutants= ;;
    *) echo "unknown option $option" >&2; exit 2 ;;
  esac
done
if [ -n "$mutants" ]; then
  for program in "$build"/src/fault_matrix_mutant_*; do
    guard=${program##*_mutant_}
    if "$program" --seed="$seed" --pairs=4 --expect-violations \
        >"${TMPDIR:-/tmp}/fault_matrix_$$"; then
      echo "mutant $guard: rejected, $(tail -n 1 "${TMPDIR:-/tmp}/fault_matrix_$$")"
    else
      echo "mutant $guard: not rejected"; failed=yes
    fi
    rm -f "${TMPDIR:-/tmp}/fault_matrix_$$"
  done
fi
[ -z "${failed:-}" ] || exit 1
exec "$build/src/fault_matrix" --seed="$seed" "${report[@]}"
