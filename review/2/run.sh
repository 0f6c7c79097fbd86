#!/usr/bin/env bash
# A key passes from one tenant to another while sessions with it are open.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
run_case moved_key 20
