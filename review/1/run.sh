#!/usr/bin/env bash
# A promotion call of a former failover controller arrives late.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
run_case late_promotion 3
