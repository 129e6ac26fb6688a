#!/usr/bin/env bash
# Refuses names of the platform's wire outside platform/ and deploy/.
set -eu
cd "$(dirname "$0")/.."

# Headers, paths, topics and fields that have another name inside.
names='Tamarackmast-[A-Z]|Kv-From|Kv-Fetch|"/-/|"keyed\.|op/config|log-read|log-append|log-newest|path_prefix|latency_goal_ms|gap_aim_ms|kv_capacity|weights_mb|adapter_slots|remaining_ms|incoming_adapters|at_hand'
bad=$(git ls-files -co --exclude-standard 'src/*.[ch]' 'src/*.x' |
	xargs grep -nE "$names" || true)
if [ -n "$bad" ]; then
	echo "$bad"
	echo "names of the platform stand outside platform/"
	exit 1
fi
