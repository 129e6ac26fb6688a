#!/usr/bin/env bash
# Checks that daemons of two builds work together: compare-builds.sh OLD NEW,
# two build folders.  Runs process tests with the daemons divided between the
# builds in three ways.  Then restarts daemons of each build as the other one,
# with the same settings, log records and checkpoints.
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
failed=0

fail() {
	printf 'FAILED: %s\n' "$*"
	failed=1
}

# Makes a build folder whose tamarackmast runs that of FIRST if "SUBCOMMAND
# SETTINGS-FILE" matches the shell pattern PATTERN, otherwise that of SECOND.
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

echo "== process tests with daemons of both builds"
for mixed in old-front new-front by-number; do
	for test in test_path test_drain_streams test_gateway test_state_lease \
	    test_subset_peers; do
		if TM_BUILD=$dir/$mixed timeout 300 "$tests/$test" --tap \
		    >"$dir/$mixed-$test.out" 2>&1; then
			echo "$mixed $test: $(grep -c '^ok' "$dir/$mixed-$test.out") tests passed"
		else
			fail "$mixed $test, see $dir/$mixed-$test.out"
		fi
	done
done

. scripts/deployment-lib.sh
standin=$new/tamarackmast-standin

daemon_ready() { http_succeeds "${http_of[$1]}/readyz"; }
entry_answers() { # ENTRY
	curl -s -m 20 "http://${http_of[$1]}/v1/completions" -H 'Rank: urgent' \
		-d '{"model":"model-0","prompt":"which bracket?","max_tokens":5}' |
		grep -q '"finish_reason":"length"'
}
declared_models() { # BUILD ENTRY
	"$1/tamarackmast" ctl -e "${http_of[$2]}" -j get model | tr -d ' \n'
}

# Stops the daemons, and starts those of BUILD with the same settings files.
restart_daemons() { # BUILD
	local name
	for name in "${entry_names[@]}" "${agent_names[@]}"; do
		kill -TERM "${pid_of[$name]}"
		wait "${pid_of[$name]}" || fail "$name did not stop cleanly"
	done
	for name in "${entry_names[@]}"; do
		start_process "$name" "$1/tamarackmast" entry --config "$dir/$name.ini"
	done
	for name in "${agent_names[@]}"; do
		start_process "$name" "$1/tamarackmast" agent --config "$dir/$name.ini"
	done
	for name in "${entry_names[@]}" "${agent_names[@]}"; do
		await 30 daemon_ready "$name" || fail "$name is not ready"
	done
}

check_upgrade() { # WRITER READER
	local before i
	bin=$1/tamarackmast
	start_platform --rate 5
	start_engine engine-0
	start_daemon agent runner-0 zone-1 engine "[backend]" "engine = $engine"
	for i in 0 1; do
		start_daemon entry "entry-$i" zone-1 entry \
			"[log]" "checkpoint_records = 10"
	done
	publish_vm_list || fail "daemons of $1 are not ready"
	echo '{"kind":"rank","name":"urgent","spec":{"order":0}}' >"$dir/d.json"
	for i in 0 1 2; do
		echo "{\"kind\":\"model\",\"name\":\"model-$i\",\"spec\":{\"memory_mib\":600}}"
	done >>"$dir/d.json"
	echo '{"kind":"deployment","name":"all","spec":{}}' >>"$dir/d.json"
	for i in 1 2 3 4 5 6 7 8 9 10 11 12; do
		"$bin" ctl -e "${http_of[entry-0]}" apply -f "$dir/d.json" >/dev/null
		sed -i "s/\"memory_mib\":[0-9]*/\"memory_mib\":$((600 + i))/" "$dir/d.json"
	done
	await 30 checkpoint_started || fail "$1 wrote no checkpoint"
	await 30 entry_answers entry-0 || fail "$1 did not answer"
	# Drops the oldest records, so that the reader needs a checkpoint.
	curl -sf -X POST "http://$log/faults" -d '{"retain": 8}' >/dev/null
	for i in 1 2 3; do
		"$bin" ctl -e "${http_of[entry-0]}" apply -f "$dir/d.json" >/dev/null
	done
	before=$(declared_models "$1" entry-0)
	restart_daemons "$2"
	[ -n "$before" ] && [ "$before" = "$(declared_models "$2" entry-1)" ] ||
		fail "declarations differ after the change of builds"
	await 30 entry_answers entry-1 || fail "$2 did not answer on the records of $1"
	restored=0
	for i in 0 1; do
		restored=$((restored + $(metric "${http_of[entry-$i]}" checkpoint_restores_total)))
	done
	[ "$restored" -gt 0 ] || fail "$2 restored no checkpoint of $1"
	echo "$(basename "$1") wrote $(log_end_offset config) config and" \
		"$(log_end_offset control) control records; $(basename "$2") restored" \
		"$restored checkpoints and answered"
	kill_all
}
checkpoint_started() {
	[ "$(metric "${http_of[entry-0]}" checkpoints_begun_total)" -gt 0 ] ||
		[ "$(metric "${http_of[entry-1]}" checkpoints_begun_total)" -gt 0 ]
}

echo "== restart with the records and checkpoints of the other build"
check_upgrade "$old" "$new"
check_upgrade "$new" "$old"

if [ "$failed" = 0 ]; then
	rm -rf "$dir"
	echo "both builds work together"
else
	echo "logs are kept in $dir"
fi
exit $failed
