#!/usr/bin/env bash
# Runs daemons of two builds beside one another: compare-builds.sh OLD NEW, two
# build folders.  The process tests of the caller's paths run with the daemons
# divided between the builds in three ways, then daemons of each build start on
# the settings, log records and checkpoints that the other one wrote.
set -u
cd "$(dirname "$0")/.."

[ $# = 2 ] || {
	echo "usage: $0 OLD-BUILD NEW-BUILD" >&2
	exit 2
}
old=$(cd "$1" && pwd) || exit 2
new=$(cd "$2" && pwd) || exit 2
tests=${BUILD:-build}/test/process
dir=$(mktemp -d)
wrong=0

fail() {
	printf 'WRONG: %s\n' "$*"
	wrong=1
}

# A build folder whose daemons are chosen by the shell pattern PATTERN, matched
# against "SUBCOMMAND SETTINGS-FILE": a match comes from FIRST, others from SECOND.
mixed_build() { # NAME PATTERN FIRST SECOND
	mkdir -p "$dir/$1"
	ln -s "$new/tamarackmast-standin" "$dir/$1/"
	cat >"$dir/$1/tamarackmast" <<-SH
		#!/usr/bin/env bash
		case "\$1 \${3:-}" in
		$2) exec $3/tamarackmast "\$@" ;;
		*) exec $4/tamarackmast "\$@" ;;
		esac
	SH
	chmod +x "$dir/$1/tamarackmast"
}

mixed_build old-front "entry*|gateway*" "$old" "$new"
mixed_build new-front "entry*|gateway*" "$new" "$old"
mixed_build by-number "*[02468].ini" "$old" "$new"

echo "== the path of a request, with daemons of both builds"
for mix in old-front new-front by-number; do
	for test in test_path test_drain_streams test_gateway test_state_lease \
	    test_subset_peers; do
		if TM_BUILD=$dir/$mix timeout 300 "$tests/$test" --tap \
		    >"$dir/$mix-$test.out" 2>&1; then
			echo "$mix $test: $(grep -c '^ok' "$dir/$mix-$test.out") tests passed"
		else
			fail "$mix $test, see $dir/$mix-$test.out"
		fi
	done
done

. scripts/deployment-lib.sh
standin=$new/tamarackmast-standin

ready() { http_ok "${http_of[$1]}/readyz"; }
answered() { # ENTRY
	curl -s -m 20 "http://${http_of[$1]}/v1/completions" -H 'Rank: urgent' \
		-d '{"model":"model-0","prompt":"which bracket?","max_tokens":5}' |
		grep -q '"finish_reason":"length"'
}
declared() { # BUILD ENTRY
	"$1/tamarackmast" ctl -e "${http_of[$2]}" -j get model | tr -d ' \n'
}

# Stops the daemons, starts them from BUILD with the files that are there.
restart_daemons() { # BUILD
	local name
	for name in "${entry_names[@]}" "${agent_names[@]}"; do
		kill -TERM "${pid_of[$name]}"
		wait "${pid_of[$name]}" || fail "$name did not stop cleanly"
	done
	for name in "${entry_names[@]}"; do
		start "$name" "$1/tamarackmast" entry --config "$dir/$name.ini"
	done
	for name in "${agent_names[@]}"; do
		start "$name" "$1/tamarackmast" agent --config "$dir/$name.ini"
	done
	for name in "${entry_names[@]}" "${agent_names[@]}"; do
		await 30 ready "$name" || fail "$name is not ready"
	done
}

takeover() { # WRITER READER
	local before i
	bin=$1/tamarackmast
	start_platform --rate 5
	start_engine engine-0
	start_daemon agent runner-0 zone-1 engine "[backend]" "engine = $engine"
	for i in 0 1; do
		start_daemon entry "entry-$i" zone-1 entry \
			"[log]" "checkpoint_records = 10"
	done
	publish_vms || fail "daemons of $1 are not ready"
	echo '{"kind":"rank","name":"urgent","spec":{"order":0}}' >"$dir/d.json"
	for i in 0 1 2; do
		echo "{\"kind\":\"model\",\"name\":\"model-$i\",\"spec\":{\"memory_mib\":600}}"
	done >>"$dir/d.json"
	echo '{"kind":"deployment","name":"all","spec":{}}' >>"$dir/d.json"
	for i in 1 2 3 4 5 6 7 8 9 10 11 12; do
		"$bin" ctl -e "${http_of[entry-0]}" apply -f "$dir/d.json" >/dev/null
		sed -i "s/\"memory_mib\":[0-9]*/\"memory_mib\":$((600 + i))/" "$dir/d.json"
	done
	await 30 checkpointed || fail "$1 wrote no checkpoint"
	await 30 answered entry-0 || fail "$1 did not answer"
	# Drops the oldest records, so that the readers need a checkpoint.
	curl -sf -X POST "http://$log/faults" -d '{"retain": 8}' >/dev/null
	for i in 1 2 3; do
		"$bin" ctl -e "${http_of[entry-0]}" apply -f "$dir/d.json" >/dev/null
	done
	before=$(declared "$1" entry-0)
	restart_daemons "$2"
	[ -n "$before" ] && [ "$before" = "$(declared "$2" entry-1)" ] ||
		fail "declarations differ after the change of builds"
	await 30 answered entry-1 || fail "$2 did not answer on the records of $1"
	restored=0
	for i in 0 1; do
		restored=$((restored + $(metric "${http_of[entry-$i]}" checkpoint_restores_total)))
	done
	[ "$restored" -gt 0 ] || fail "$2 restored no checkpoint of $1"
	echo "$(basename "$1") wrote $(log_end config) config and" \
		"$(log_end control) control records; $(basename "$2") restored" \
		"$restored checkpoints and answered"
	stop_all
}
checkpointed() {
	[ "$(metric "${http_of[entry-0]}" checkpoints_begun_total)" -gt 0 ] ||
		[ "$(metric "${http_of[entry-1]}" checkpoints_begun_total)" -gt 0 ]
}

echo "== daemons on what the other build wrote"
takeover "$old" "$new"
takeover "$new" "$old"

if [ "$wrong" = 0 ]; then
	rm -rf "$dir"
	echo "both builds work beside one another"
else
	echo "logs are kept in $dir"
fi
exit $wrong
