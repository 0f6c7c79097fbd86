#!/usr/bin/env bash
# A VM is shut down after a route was removed.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
# TROUBLE=0 runs the case without the disruption.
run_case removed_route 18 "${TROUBLE:-1}"
