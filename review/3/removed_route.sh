#!/usr/bin/env bash
# A VM is shut down after a route was removed.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
. "$here/../common.sh"
run_case removed_route 18
