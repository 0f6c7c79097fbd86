#!/usr/bin/env bash
# Checks all models with spin, and that each mutant named in a model's comment
# by `mutant: NAME` is rejected. Works in a temporary folder.
set -uo pipefail
models=$(cd "$(dirname "$0")/../models" && pwd)
work=$(mktemp -d)
trap 'rm -rf "$work"' EXIT
hold=0 rejected=0 wrong=0

# Prints `holds`, `rejected` or a problem. Arguments: model, macros.
check() {
  local folder
  folder=$(mktemp -d -p "$work")
  cd "$folder" || return
  if ! spin -a "${@:2}" "$1" >spin.log 2>&1 ||
      ! gcc -O2 -w -DSAFETY -DVECTORSZ=2048 -DMEMLIM=2000 \
        -o pan pan.c >gcc.log 2>&1; then
    echo "does not compile"
    return
  fi
  timeout 300 ./pan -w25 -m20000 -E >pan.log 2>&1
  if grep -q 'errors: 0' pan.log && ! grep -q 'Search not completed' pan.log; then
    echo "holds"
  elif grep -q 'assertion violated' pan.log; then
    echo "rejected"
  else
    echo "search not completed"
  fi
}

for model in "$models"/*.pml; do
  name=$(basename "$model" .pml)
  begin=$SECONDS
  verdict=$(check "$model")
  echo "$name: $verdict ($((SECONDS - begin)) s)"
  if [ "$verdict" = holds ]; then hold=$((hold + 1)); else wrong=1; fi
  for mutant in $(grep -o 'mutant: [A-Z_]*' "$model" | cut -d' ' -f2); do
    verdict=$(check "$model" "-D$mutant")
    echo "$name with $mutant: $verdict"
    if [ "$verdict" = rejected ]; then
      rejected=$((rejected + 1))
    else
      wrong=1
    fi
  done
done
echo "$hold models hold, $rejected mutants rejected"
exit $wrong
