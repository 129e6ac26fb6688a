#!/usr/bin/env bash
# Measures the deployment's decisions on stand-ins, in parts; ONLY=name for one.
# Results go to build/bench; the page of figures is printed.
set -u
cd "$(dirname "$0")/.."

dir=$(mktemp -d)
out=${BUILD:-build}/bench
. scripts/deployment-lib.sh
. scripts/users-lib.sh
mkdir -p "$out"
trap 'stop_all; rm -rf "$dir"' EXIT
wrong=0

figure() { # RESULT RANK FIELD QUANTILE
	perl -MJSON::PP -0777 -ne '
		my ($rank, $field, $q) = @ARGV[0..2]; BEGIN { @a = splice(@ARGV, 1) }
		my $r = decode_json($_)->{ranks}{$a[0]};
		my $v = $a[2] ? $r->{$a[1]}{$a[2]} : $r->{$a[1]};
		printf "%.6g", $v // 0' "$@"
}

ratio() { awk -v a="$1" -v b="$2" 'BEGIN { if (a > 0) printf "%.2f", b / a; else print "-" }'; }

run() { # SCENARIO RESULT [ARGUMENT...]: a broken promise makes the bench fail
	local name=$2
	run_bench "$1" "$out/$name.json" -q "${@:3}" >"$out/$name.txt" || {
		echo "WRONG: $name broke a promise, see $out/$name.txt"
		wrong=1
	}
}

part_cold() {
	local user
	echo "| cold start after quiet | answered | first token p50 ms | p99 ms | loads |"
	echo "|---|---|---|---|---|"
	for user in markisen fjellduk; do
		start_user "$user"
		run bench/cold.json "cold-$user"
		echo "| $user, 24 at 3 entries | $(figure "$out/cold-$user.json" urgent answered) | $(figure "$out/cold-$user.json" urgent first_token_ms p50) | $(figure "$out/cold-$user.json" urgent first_token_ms p99) | $(grep -o '"loads": [0-9]*' "$out/cold-$user.json" | tail -1 | tr -dc 0-9) |"
		stop_all
	done
}

part_flood() {
	local load rank base
	start_user markisen
	run bench/warm.json warm
	echo "| load | rank | sent | answered | not run | unknown | broken off | whole answer p99 ms | over no flood |"
	echo "|---|---|---|---|---|---|---|---|---|"
	for load in flood-none flood-draft flood-urgent; do
		run "bench/$load.json" "$load"
		for rank in urgent standard draft; do
			base=$(figure "$out/flood-none.json" $rank whole_ms p99)
			echo "| $load | $rank | $(figure "$out/$load.json" $rank sent) | $(figure "$out/$load.json" $rank answered) | $(figure "$out/$load.json" $rank not_run) | $(figure "$out/$load.json" $rank unknown) | $(figure "$out/$load.json" $rank broken) | $(figure "$out/$load.json" $rank whole_ms p99) | $(ratio "$base" "$(figure "$out/$load.json" $rank whole_ms p99)") |"
		done
	done
	stop_all
}

engine_order() { # ENGINE load|unload
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

# Three engines, first straight, then through one entry and their agents.
part_way() {
	local field q a b i engines=()
	journals=() entry_http=()
	start_platform
	for i in 0 1 2; do
		start_engine "engine-$i" --token-ms 1 --cache model-0=memory
		engines+=("$engine")
	done
	await 10 http_ok "${engines[2]}/faults"
	for engine in "${engines[@]}"; do engine_order "$engine" load; done
	entry_http=("${engines[@]}")
	run bench/way.json way-bare --bare
	for engine in "${engines[@]}"; do engine_order "$engine" unload; done
	for i in 0 1 2; do
		start_daemon agent "runner-$i" zone-1 engine \
			"[backend]" "engine = ${engines[$i]}"
	done
	start_daemon entry entry-0 zone-1 entry
	entry_http=("${http_of[entry-0]}")
	publish_vms
	cat >"$dir/d.json" <<-JSON
		{"kind":"rank","name":"urgent","spec":{"order":0}}
		{"kind":"model","name":"model-0","spec":{"memory_mib":6000,"min_replicas":3,"max_replicas":3}}
		{"kind":"deployment","name":"way","spec":{}}
	JSON
	"$bin" ctl -e "${entry_http[0]}" apply -f "$dir/d.json" >/dev/null
	await 30 all_placed 1
	sleep 1
	run bench/way.json way-warm
	a=$(cpu_ns "${pid_of[entry-0]}")
	b=$(agents_cpu_ns)
	run bench/way.json way
	a=$(($(cpu_ns "${pid_of[entry-0]}") - a))
	b=$(($(agents_cpu_ns) - b))
	awk -v a="$a" -v b="$b" -v n="$(figure "$out/way.json" urgent tokens)" \
		'BEGIN { printf "%d tokens; processor time a token: entry %.1f us, agent %.1f us\n\n", n, a / n / 1e3, b / n / 1e3 }'
	echo "| in the way, 2,000 tokens/s | straight at the engine ms | entry and agent ms | added ms |"
	echo "|---|---|---|---|"
	for field in first_token_ms between_tokens_ms; do
		for q in p50 p95 p99; do
			a=$(figure "$out/way-bare.json" urgent $field $q)
			b=$(figure "$out/way.json" urgent $field $q)
			echo "| $field $q | $a | $b | $(awk -v a="$a" -v b="$b" 'BEGIN { printf "%.2f", b - a }') |"
		done
	done
	stop_all
}

part_adapters() {
	local begin end version name
	start_user markisen
	awk 'BEGIN { for (i = 0; i < 24000; i++)
		printf "{\"kind\":\"adapter\",\"name\":\"many-%d\",\"spec\":{\"model\":\"model-%d\",\"memory_mib\":60}}\n", i, i % 40 }' \
		>"$dir/many.json"
	begin=$(date +%s.%N)
	"$bin" ctl -e "${entry_http[0]}" apply -f "$dir/many.json" >/dev/null
	version=$(($(log_end config) - 1))
	for name in "${entry_names[@]}" "${agent_names[@]}"; do
		await 60 config_is "$name" "$version" || wrong=1
	done
	end=$(date +%s.%N)
	echo "24,000 adapters applied in one batch, in force at all 18 daemons after" \
		"$(awk -v a="$begin" -v b="$end" 'BEGIN { printf "%.2f", b - a }') s (target: 7 s)"
	stop_all
}

for part in ${ONLY:-cold flood way adapters}; do
	echo
	echo "## $part"
	echo
	"part_$part"
done
exit $wrong
