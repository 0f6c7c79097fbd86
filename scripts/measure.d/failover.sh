#!/usr/bin/env bash
exec bash "$(dirname "$0")/../measure_deployments.sh" failover "$@"
