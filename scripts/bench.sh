#!/usr/bin/env bash
# Measures deployments of daemons on stand-ins: cold starts, floods of requests,
# the overhead of entry and agent, and a large batch of declarations.  ONLY=PART
# runs one part.  Prints tables; the results in JSON go to build/bench.
# Exits with 1 if a run fails.
set -u
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
out=${BUILD:-build}/bench
. scripts/deployment-lib.sh
. scripts/users-lib.sh
mkdir -p "$out"
trap 'kill_all; rm -rf "$dir"' EXIT
failed=0

result_value() { # RESULT RANK FIELD [QUANTILE]
	perl -MJSON::PP -0777 -ne '
		my ($rank, $field, $q) = @ARGV[0..2]; BEGIN { @a = splice(@ARGV, 1) }
		my $r = decode_json($_)->{ranks}{$a[0]};
		my $v = $a[2] ? $r->{$a[1]}{$a[2]} : $r->{$a[1]};
		printf "%.6g", $v // 0' "$@"
}

print_ratio() { # BASELINE VALUE
	awk -v a="$1" -v b="$2" 'BEGIN { if (a > 0) printf "%.2f", b / a; else print "-" }'
}

# A run fails if an answer is incomplete or late, or if the journals contradict
# the answers.
run_scenario() { # SCENARIO RESULT [ARGUMENT...]
	local name=$2
	run_bench "$1" "$out/$name.json" -q "${@:3}" >"$out/$name.txt" || {
		echo "FAILED: scenario $name, see $out/$name.txt"
		failed=1
	}
}

part_cold() {
	local user
	echo "| cold start after quiet | answered | first token p50 ms | p99 ms | loads |"
	echo "|---|---|---|---|---|"
	for user in markisen fjellduk; do
		start_user "$user"
		run_scenario bench/cold.json "cold-$user"
		echo "| $user, 24 at 3 entries | $(result_value "$out/cold-$user.json" urgent answered) | $(result_value "$out/cold-$user.json" urgent first_token_ms p50) | $(result_value "$out/cold-$user.json" urgent first_token_ms p99) | $(grep -o '"loads": [0-9]*' "$out/cold-$user.json" | tail -1 | tr -dc 0-9) |"
		kill_all
	done
}

part_flood() {
	local load rank baseline
	start_user markisen
	run_scenario bench/warm.json warm
	echo "| load | rank | sent | answered | not run | unknown | broken off | complete answer p99 ms | ratio to no flood |"
	echo "|---|---|---|---|---|---|---|---|---|"
	for load in flood-none flood-draft flood-urgent; do
		run_scenario "bench/$load.json" "$load"
		for rank in urgent standard draft; do
			baseline=$(result_value "$out/flood-none.json" $rank whole_ms p99)
			echo "| $load | $rank | $(result_value "$out/$load.json" $rank sent) | $(result_value "$out/$load.json" $rank answered) | $(result_value "$out/$load.json" $rank not_run) | $(result_value "$out/$load.json" $rank unknown) | $(result_value "$out/$load.json" $rank broken) | $(result_value "$out/$load.json" $rank whole_ms p99) | $(print_ratio "$baseline" "$(result_value "$out/$load.json" $rank whole_ms p99)") |"
		done
	done
	kill_all
}

send_engine_order() { # ENGINE load|unload
	curl -sf "http://$1/engine/orders" \
		-d "{\"op\":\"$2\",\"model\":\"model-0\",\"bytes\":1000000}" \
		>/dev/null
}

agents_cpu_ns() {
	local name sum=0
	for name in "${agent_names[@]}"; do
		sum=$((sum + $(cpu_ns "${pid_of[$name]}")))
	done
	echo "$sum"
}

# Calls three engines directly, then through one entry and their agents.
part_way() {
	local field q i engines=() entry_ns agents_ns direct routed
	journals=() entry_http=()
	start_platform
	for i in 0 1 2; do
		start_engine "engine-$i" --token-ms 1 --cache model-0=memory
		engines+=("$engine")
	done
	await 10 http_succeeds "${engines[2]}/faults"
	for engine in "${engines[@]}"; do send_engine_order "$engine" load; done
	entry_http=("${engines[@]}")
	run_scenario bench/way.json way-bare --bare
	for engine in "${engines[@]}"; do send_engine_order "$engine" unload; done
	for i in 0 1 2; do
		start_daemon agent "runner-$i" zone-1 engine \
			"[backend]" "engine = ${engines[$i]}"
	done
	start_daemon entry entry-0 zone-1 entry
	entry_http=("${http_of[entry-0]}")
	publish_vm_list
	cat >"$dir/d.json" <<-JSON
		{"kind":"rank","name":"urgent","spec":{"order":0}}
		{"kind":"model","name":"model-0","spec":{"memory_mib":6000,"min_replicas":3,"max_replicas":3}}
		{"kind":"deployment","name":"way","spec":{}}
	JSON
	"$bin" ctl -e "${entry_http[0]}" apply -f "$dir/d.json" >/dev/null
	await 30 models_have_slots 1
	sleep 1
	run_scenario bench/way.json way-warm
	entry_ns=$(cpu_ns "${pid_of[entry-0]}")
	agents_ns=$(agents_cpu_ns)
	run_scenario bench/way.json way
	entry_ns=$(($(cpu_ns "${pid_of[entry-0]}") - entry_ns))
	agents_ns=$(($(agents_cpu_ns) - agents_ns))
	awk -v a="$entry_ns" -v b="$agents_ns" \
		-v n="$(result_value "$out/way.json" urgent tokens)" \
		'BEGIN { printf "%d tokens; CPU time per token: entry %.1f us, agent %.1f us\n\n", n, a / n / 1e3, b / n / 1e3 }'
	echo "| overhead at 2,000 tokens/s | engine alone ms | through entry and agent ms | added ms |"
	echo "|---|---|---|---|"
	for field in first_token_ms between_tokens_ms; do
		for q in p50 p95 p99; do
			direct=$(result_value "$out/way-bare.json" urgent $field $q)
			routed=$(result_value "$out/way.json" urgent $field $q)
			echo "| $field $q | $direct | $routed | $(awk -v a="$direct" -v b="$routed" 'BEGIN { printf "%.2f", b - a }') |"
		done
	done
	kill_all
}

part_adapters() {
	local begin end version name
	start_user markisen
	awk 'BEGIN { for (i = 0; i < 24000; i++)
		printf "{\"kind\":\"adapter\",\"name\":\"many-%d\",\"spec\":{\"model\":\"model-%d\",\"memory_mib\":60}}\n", i, i % 40 }' \
		>"$dir/many.json"
	begin=$(date +%s.%N)
	"$bin" ctl -e "${entry_http[0]}" apply -f "$dir/many.json" >/dev/null
	version=$(($(log_end_offset config) - 1))
	for name in "${entry_names[@]}" "${agent_names[@]}"; do
		await 60 config_at_least "$name" "$version" || failed=1
	done
	end=$(date +%s.%N)
	echo "24,000 adapters applied in one batch, active on all 18 daemons after" \
		"$(awk -v a="$begin" -v b="$end" 'BEGIN { printf "%.2f", b - a }') s (target: 7 s)"
	kill_all
}

for part in ${ONLY:-cold flood way adapters}; do
	echo
	echo "## $part"
	echo
	"part_$part"
done
exit $failed
