#!/usr/bin/env bash
# Checks format and lint of all C++ files. Needs compile_commands.json in the
# build folder, which is the first argument (default: build).
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
jobs=${TARRAGONDALE_JOBS:-$(nproc)}

git ls-files -co --exclude-standard '*.h' '*.cc' |
  xargs clang-format --dry-run -Werror

# A file is linted again only if it, the configuration or any header changed.
stamps="$build/lint"
mkdir -p "$stamps"
common=$(git ls-files -co --exclude-standard '*.h' .clang-tidy |
  xargs sha256sum | sha256sum | cut -c1-16)
lint_file() {
  local file=$1 stamp
  stamp="$stamps/$(sha256sum "$file" | cut -c1-32)-$common"
  [ -e "$stamp" ] && return 0
  if ! output=$(clang-tidy --quiet -p "$build" "$file" 2>/dev/null); then
    printf '%s\n' "$output"
    return 1
  fi
  touch "$stamp"
}
export -f lint_file
export stamps common build
# The largest files first: they take longest.
git ls-files -co --exclude-standard '*.cc' | xargs ls -S |
  xargs -P "$jobs" -I{} bash -c 'lint_file {}'
echo "format and lint are clean"
