#!/usr/bin/env bash
# A promotion call of a former failover controller arrives late.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
# TROUBLE=0 runs the case without the disruption.
run_case late_promotion 3 "${TROUBLE:-1}"
