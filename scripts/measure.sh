#!/usr/bin/env bash
# Runs one measurement of scripts/measure.d on stand-ins and prints a Markdown
# table. Usage: scripts/measure.sh NAME [OPTIONS...]
set -euo pipefail
cd "$(dirname "$0")/.."
name=${1:-}
if [ -z "$name" ] || [ ! -f "scripts/measure.d/$name.sh" ]; then
  echo "usage: scripts/measure.sh NAME [OPTIONS...]; names:" >&2
  for each in scripts/measure.d/*.sh; do
    echo "  $(basename "$each" .sh)" >&2
  done
  exit 2
fi
shift
exec bash "scripts/measure.d/$name.sh" "$@"
