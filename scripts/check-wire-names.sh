#!/usr/bin/env bash
# Refuses names of the platform's protocol in src/: they belong in platform/.
set -eu
cd "$(dirname "$0")/.."

# Headers, paths, topics and fields that have another name in src/.
names='Tamarackmast-[A-Z]|Kv-From|Kv-Fetch|"/-/|"keyed\.|op/config|log-read|log-append|log-newest|path_prefix|latency_goal_ms|gap_aim_ms|kv_capacity|weights_mb|adapter_slots|remaining_ms|incoming_adapters|at_hand'
matches=$(git ls-files -co --exclude-standard 'src/*.[ch]' 'src/*.x' |
	xargs grep -nE "$names" || true)
if [ -n "$matches" ]; then
	echo "$matches"
	echo "names of the platform's protocol are used in src/"
	exit 1
fi
