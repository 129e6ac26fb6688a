#!/usr/bin/env bash
# Checks that docs/METRICS.md names exactly the metrics of the sources.
set -eu
cd "$(dirname "$0")/.."

metrics_in_sources() {
	{
		cat src/*/*.c src/*/*/*.c | tr -d '\n' |
			grep -oE 'metrics_(counter|gauge|histogram)\([^"()]*"[a-z_]+"' |
			grep -oE '"[a-z_]+"$'
		grep -ohE 'ACCOUNT_COUNTER\(x, "[a-z_]+"' src/gateway/quotas.c | grep -oE '"[a-z_]+"$'
		grep -ohE '"[a-z_]+_seconds"' src/entry/usage.c
		grep -ohE '"[a-z]+_version"' src/coordination/*.c
	} | tr -d '"' | sort -u
}

metrics_in_page() { grep -oE '^\| `[a-z_]+`' docs/METRICS.md | grep -oE '[a-z_]+' | sort -u; }

if ! diff <(metrics_in_page) <(metrics_in_sources); then
	echo "docs/METRICS.md (<) and the sources (>) name different metrics"
	exit 1
fi
