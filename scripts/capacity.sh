#!/usr/bin/env bash
# Measures the cost of each role in idle deployments of growing size, and fits
# slopes: CPU time, bytes read and written, resident memory.
# CAPACITY_SIZES lists the numbers of agents; 150 needs about 165 processes.
# CAPACITY_PARTS lists the sweeps, CAPACITY_WINDOW the seconds of one window.
set -eu
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
out=${CAPACITY_OUT:-${BUILD:-build}/capacity}
sizes=${CAPACITY_SIZES:-"4 16 50 100 150"}
window_s=${CAPACITY_WINDOW:-5}
windows=3
settle_s=4
agents_per_engine=16
. scripts/deployment-lib.sh
mkdir -p "$out"
points=$out/points.csv
trap 'kill_all; rm -rf "$dir"' EXIT

start_deployment() { # ENTRIES AGENTS
	local i
	start_platform
	for ((i = 0; i < $2; i++)); do
		[ $((i % agents_per_engine)) = 0 ] && start_engine "engine-$i"
		start_daemon agent "agent-$i" "$(zone_of "$i")" engine \
			"[backend]" "engine = $engine"
	done
	for ((i = 0; i < $1; i++)); do
		start_daemon entry "entry-$i" "$(zone_of "$i")" entry
	done
	publish_vm_list
}

declare_models() { # COUNT
	local i
	echo '{"kind":"rank","name":"urgent","spec":{"order":0}}'
	for ((i = 0; i < $1; i++)); do
		echo "{\"kind\":\"model\",\"name\":\"model-$i\",\"spec\":{\"memory_mib\":8000,\"min_replicas\":2,\"max_replicas\":2}}"
	done
	echo '{"kind":"deployment","name":"all","spec":{}}'
}

declare_adapters() { # COUNT MODELS
	awk -v n="$1" -v m="$2" 'BEGIN { for (i = 0; i < n; i++)
		printf "{\"kind\":\"adapter\",\"name\":\"adapter-%d\",\"spec\":{\"model\":\"model-%d\",\"memory_mib\":60}}\n", i, i % m }'
}

# Applies declarations; prints the seconds until every daemon has them.
apply_and_time() { # FILE
	local begin end version name
	begin=$(date +%s.%N)
	"$bin" ctl -e "${http_of[entry-0]}" apply -f "$1" >"$dir/apply.out"
	version=$(($(log_end_offset config) - 1))
	for name in "${entry_names[@]}" "${agent_names[@]}"; do
		await 60 config_at_least "$name" "$version"
	done
	end=$(date +%s.%N)
	awk -v a="$begin" -v b="$end" 'BEGIN { printf "%.2f\n", b - a }'
}

# Prints, since the start: CPU ns, bytes read and written; then RSS in KiB.
process_usage() { # PID
	awk '{ printf "%d ", $1 }' "/proc/$1/schedstat"
	awk '/^rchar|^wchar/ { n += $2 } END { printf "%d ", n }' "/proc/$1/io"
	awk '/^VmRSS/ { print $2 }' "/proc/$1/status"
}

find_holder() {
	local name
	for name in "${entry_names[@]}"; do
		[ "$(metric "${http_of[$name]}" lease_held)" = 1 ] &&
			echo "$name" && return
	done
	echo none
}

write_usage() { # FILE
	local name
	for name in "${entry_names[@]}" "${agent_names[@]}"; do
		echo "$name $(process_usage "${pid_of[$name]}")"
	done >"$1"
}

rpc_bytes() { # DAEMON
	curl -s -m 5 "http://${http_of[$1]}/metrics" |
		awk '/^rpc_(sent|received)_bytes_total/ { n += $2 }
			END { printf "%d\n", n }'
}

# Appends lines for each daemon, RPC and the log in several windows:
# sweep, x, role, CPU %, bytes/s, RSS KiB.
measure() { # SWEEP X
	local holder w before after
	sleep "$settle_s"
	holder=$(find_holder)
	local name
	local -A rpc
	for ((w = 0; w < windows; w++)); do
		rpc=([entry-0]=0 [agent-0]=0)
		for name in "${!rpc[@]}"; do rpc[$name]=$(rpc_bytes "$name"); done
		before=$(log_end_offset control)
		write_usage "$dir/a"
		sleep "$window_s"
		write_usage "$dir/b"
		after=$(log_end_offset control)
		for name in "${!rpc[@]}"; do
			echo "$1,$2,rpc-${name%-0},0,$((($(rpc_bytes "$name") - \
				rpc[$name]) / window_s)),0" >>"$points"
		done
		paste -d ' ' "$dir/a" "$dir/b" | awk -v sweep="$1" -v x="$2" \
			-v holder="$holder" -v s="$window_s" '{
			role = $1 ~ /^agent/ ? "agent" : \
			    ($1 == holder ? "holder" : "entry")
			printf "%s,%d,%s,%.4f,%.0f,%d\n", sweep, x, role,
			    ($6 - $2) / 1e9 / s * 100, ($7 - $3) / s, $8 }' \
			>>"$points"
		echo "$1,$2,log,$(awk -v a="$before" -v b="$after" \
			-v s="$window_s" 'BEGIN { print (b - a) / s }'),0,0" \
			>>"$points"
	done
	echo "measured $1 = $2 (holder $holder)" >&2
}

sweep_agents() {
	local n
	for n in $sizes; do
		start_deployment 2 "$n"
		declare_models 12 >"$dir/d.json"
		apply_and_time "$dir/d.json" >/dev/null
		measure agents "$n"
		kill_all
	done
}

sweep_entries() {
	local n
	for n in 2 8 24; do
		start_deployment "$n" 8
		declare_models 12 >"$dir/d.json"
		apply_and_time "$dir/d.json" >/dev/null
		measure entries "$n"
		kill_all
	done
}

sweep_declarations() {
	local n seconds
	start_deployment 2 8
	declare_models 40 >"$dir/d.json"
	apply_and_time "$dir/d.json" >/dev/null
	measure adapters 0
	for n in 80 6000 12000 24000; do
		declare_adapters "$n" 40 >"$dir/d.json"
		seconds=$(apply_and_time "$dir/d.json")
		echo "in_force_all,$n,config,$seconds,0,0" >>"$points"
		measure adapters "$n"
	done
	for n in 1 2 3 4 5; do
		echo "{\"kind\":\"adapter\",\"name\":\"one-$n\",\"spec\":{\"model\":\"model-0\",\"memory_mib\":60}}" >"$dir/one.json"
		seconds=$(apply_and_time "$dir/one.json")
		echo "in_force_one,$n,config,$seconds,0,0" >>"$points"
	done
	kill_all
}

# How fast the holder places: time and records until all slots are decided.
sweep_placement() {
	local begin end before after
	start_deployment 2 16
	declare_models 120 >"$dir/d.json"
	before=$(log_end_offset control)
	begin=$(date +%s.%N)
	"$bin" ctl -e "${http_of[entry-0]}" apply -f "$dir/d.json" >/dev/null
	await 120 slots_at_least 240
	end=$(date +%s.%N)
	after=$(log_end_offset control)
	echo "in_force_placement,240 slots in $((after - before)) records,config,$(awk \
		-v a="$begin" -v b="$end" 'BEGIN { printf "%.2f", b - a }'),0,0" \
		>>"$points"
	kill_all
}
slots_at_least() { # COUNT
	[ "$(curl -s "http://${http_of[entry-0]}/apis/v1/status" |
		grep -o '"runner":' | wc -l)" -ge "$1" ]
}

# Idle keep-alive connections of callers to one entry.
sweep_connections() {
	local n i entry
	start_deployment 2 4
	declare_models 4 >"$dir/d.json"
	apply_and_time "$dir/d.json" >/dev/null
	entry=${http_of[entry-0]}
	for n in 0 200 1000; do
		exec {fds[0]}>/dev/null
		for ((i = ${#fds[@]}; i <= n; i++)); do
			exec {fds[i]}<>"/dev/tcp/${entry%:*}/${entry#*:}"
			printf 'GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n' \
				>&"${fds[i]}"
		done
		sleep 1
		measure connections "$n"
	done
	for i in "${!fds[@]}"; do exec {fds[i]}>&-; done
	kill_all
}

echo "sweep,x,role,cpu_percent,bytes_per_s,rss_kib" >"$points"
parts=${CAPACITY_PARTS:-"agents entries declarations placement connections"}
for part in $parts; do
	"sweep_$part"
done
awk -f scripts/capacity-fit.awk "$points" | tee "$out/fits.md"
