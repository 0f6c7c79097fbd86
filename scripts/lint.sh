#!/usr/bin/env bash
# Checks format and lint of all C++ files. Needs compile_commands.json in the
# build folder, which is the first argument (default: build).
#
# Most checks spend their time on the headers of libraries, so files of one
# folder and one kind are joined into batches for them. A batch whose files
# clash, for example by names in their unnamed namespaces, is halved. A batch
# with a finding is linted file by file; that run decides and gives the
# messages. The analyzer's checks get slower in batches and run on each file.
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
jobs=${TARRAGONDALE_JOBS:-$(nproc)}
batch_files=8  # Larger batches leave processors idle at the end.

git ls-files -co --exclude-standard '*.h' '*.cc' |
  xargs clang-format --dry-run -Werror

# Checks of the analyzer, which the configuration lists too, and all others.
analyzer=$(sed -n 's/^ *\(clang-analyzer[^,]*\),$/\1/p' .clang-tidy | paste -sd,)
others=$(sed -n 's/^ *\(clang-analyzer[^,]*\),$/-\1/p' .clang-tidy | paste -sd,)
analyzer="-*,$analyzer"

# A task is run again only if its files, the configuration or a header changed.
stamps="$build/lint"
mkdir -p "$stamps"
common=$(git ls-files -co --exclude-standard '*.h' .clang-tidy |
  xargs sha256sum | sha256sum | cut -c1-16)

# Prints the compiler options of a file: includes, definitions and language.
compile_options() {
  grep -F "\"file\": \"$PWD/$1\"" -B 1 "$build/compile_commands.json" |
    grep -m 1 '"command"' |
    grep -oE -- '-(D|I|std=)[^ ]+|-isystem [^ ]+' | sed 's/\\\\\\"/"/g; s/\\"//g' ||
    true
}

# lint_file CHECKS FILE
lint_file() {
  local output
  if ! output=$(clang-tidy --quiet -p "$build" --checks="$1" "$2" \
      2>/dev/null); then
    printf '%s\n' "$output"
    return 1
  fi
}

# lint_batch FILES...
lint_batch() {
  local source options failed=0
  if [ $# -gt 1 ]; then
    source=$(mktemp -p "$stamps" --suffix=.cc)
    cat "$@" >"$source"
    options=$(compile_options "$1")
    # shellcheck disable=SC2086
    if ! clang++ -fsyntax-only -w $options "$source" 2>/dev/null; then
      rm -f "$source"
      lint_batch "${@:1:$(($# / 2))}" || failed=1
      lint_batch "${@:$(($# / 2 + 1))}" || failed=1
      return "$failed"
    fi
    # shellcheck disable=SC2086
    if clang-tidy --quiet --config-file=.clang-tidy --checks="$others" \
        "$source" -- -x c++ $options >/dev/null 2>&1; then
      rm -f "$source"
      return 0
    fi
    rm -f "$source"
  fi
  for file in "$@"; do
    lint_file "$others" "$file" || failed=1
  done
  return "$failed"
}

# lint WHAT FILES...: runs what has not passed yet.
lint() {
  local stamp
  stamp="$stamps/$1-$(cat "${@:2}" | sha256sum | cut -c1-32)-$common"
  [ -e "$stamp" ] && return 0
  case $1 in
    analyze) lint_file "$analyzer" "$2" ;;
    batch) lint_batch "${@:2}" ;;
  esac && touch "$stamp"
}
export -f lint lint_file lint_batch compile_options
export stamps common build analyzer others

# One line for each task, the largest first: files of one folder, tests apart
# from the rest; and each file by itself.
git ls-files -co --exclude-standard '*.cc' | xargs wc -c | grep -v ' total$' |
  awk -v size="$batch_files" '
    { folder = $2; sub("/[^/]*$", "", folder)
      kind = /_test\.cc$/ ? "test" : /_(main|benchmark)\.cc$/ ? $2 : "source"
      key = folder " " kind
      if (count[key]++ % size == 0) batch[key] = ++batches
      files[batch[key]] = files[batch[key]] " " $2
      bytes[batch[key]] += $1
      print $1, "analyze", $2 }
    END { for (i = 1; i <= batches; i++) print bytes[i], "batch" files[i] }' |
  sort -rn | cut -d' ' -f2- |
  xargs -P "$jobs" -I{} bash -c 'lint {}'
echo "format and lint are clean"
