#!/usr/bin/env bash
# Formatter, linter, build, all tests, the models and the fault matrix with its
# mutants, then the tests again under AddressSanitizer with UBSan, and the
# threaded tests under ThreadSanitizer.
# --quick stops before the sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
jobs=${TARRAGONDALE_JOBS:-$(nproc)}

# configure_and_build FOLDER TARGETS [CMAKE OPTIONS...]
# "tests" among the targets stands for all test programs of the folder.
configure_and_build() {
  local log targets
  mkdir -p "$1"
  log=$1/build.log
  # shellcheck disable=SC2086
  if ! { cmake -G Ninja -S . -B "$1" "${@:3}" &&
    targets=${2/#tests/$(test_programs "$1")} &&
    ninja -C "$1" -j "$jobs" $targets; } >"$log" 2>&1; then
    # The compiler's messages stand before ninja's last lines.
    grep -nE 'error|FAILED|Error' "$log" | head -n 40 || true
    tail -n 40 "$log"
    return 1
  fi
  tail -n 1 "$log"
}

# Which test programs exist depends on the sanitizer.
test_programs() {
  ninja -C "$1" -t targets all |
    sed -n '/^cmake_/d; s/^\([a-z_]*_test\): phony$/\1/p' | paste -sd' '
}

# Tests that KNOWN-RED.txt lists are run by name afterwards and only printed.
known_red() {
  [ -f KNOWN-RED.txt ] || return 0
  sed -n 's/^test: *//p' KNOWN-RED.txt
}

run_tests() {
  local build=$1 excluded
  shift
  excluded=$(known_red | paste -sd'|' -)
  ctest --test-dir "$build" -j "$jobs" --output-on-failure "$@" \
    ${excluded:+-E "^(${excluded})\$"}
  for name in $(known_red); do
    echo "known red: $name"
    ctest --test-dir "$build" -R "^${name}\$" || true
  done
}

scripts/check_dependencies.sh
configure_and_build build all
scripts/lint.sh build
run_tests build
scripts/model_check.sh
scripts/fault_matrix.sh --build=build
[ "${1:-}" = --quick ] && exit 0

# Tests, and the programs that they start; measurements are not run.
configure_and_build build-asan \
  'tests fault_matrix tarragondaled tarragondalectl tarragondale-standin' \
  -DTARRAGONDALE_SANITIZE=address -DCMAKE_BUILD_TYPE=Debug
run_tests build-asan
# Only the programs that hold tests of scripts/threaded-tests.txt.
configure_and_build build-tsan \
  'base_test store_test telemetry_test runtime_test system_test platform_test' \
  -DTARRAGONDALE_SANITIZE=thread
TSAN_OPTIONS="suppressions=$PWD/scripts/tsan.supp halt_on_error=1" \
  run_tests build-tsan -R "$(paste -sd'|' scripts/threaded-tests.txt)"
