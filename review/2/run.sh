#!/usr/bin/env bash
# A key passes from one tenant to another while sessions with it are open.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
# TROUBLE=0 runs the case without the disruption.
run_case moved_key 20 "${TROUBLE:-1}"
