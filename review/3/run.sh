#!/usr/bin/env bash
# All VMs are restarted in turn.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
# TROUBLE=0 runs the case without the disruption.
run_case rolling_restart 17 "${TROUBLE:-1}"
