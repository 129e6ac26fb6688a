#!/usr/bin/env bash
# Starts a small deployment on loopback, sends a burst for a cold model to both
# entries, streams, makes a booking, prints the status, and stops all processes.
# VALGRIND=1 runs the daemons under valgrind; a leak or error fails the demo.
set -u
cd "$(dirname "$0")/.."

bin=${BUILD:-build}/tamarackmast
standin=${BUILD:-build}/tamarackmast-standin
wait_factor=1 # of all timeouts
daemon=("$bin")
if [ "${VALGRIND:-0}" = 1 ]; then
	wait_factor=10
	daemon=(valgrind --quiet --error-exitcode=99 --leak-check=full
		--errors-for-leak-kinds=definite "$bin")
fi
port_base=${DEMO_PORT:-21000}
dir=$(mktemp -d)
pids=()
failed=0

step() { printf '\n== %s\n' "$*"; }
fail() {
	printf 'FAILED: %s\n' "$*"
	failed=1
}
start_process() {
	local name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.log" &
	pids+=($!)
}
stop_all() {
	for ((i = ${#pids[@]} - 1; i >= 0; i--)); do
		kill -TERM "${pids[$i]}" 2>/dev/null
	done
	wait
}
cleanup() {
	stop_all
	if [ "$failed" = 1 ]; then
		echo "logs are kept in $dir"
	else
		rm -rf "$dir"
	fi
}
trap cleanup EXIT
address_at() { echo "127.0.0.1:$((port_base + $1))"; }
await() { # await SECONDS COMMAND...
	local limit=$(($1 * 20 * wait_factor))
	shift
	for ((i = 0; i < limit; i++)); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.05
	done
	return 1
}

log=$(address_at 0) vms=$(address_at 1) weights=$(address_at 2)
entry_a=$(address_at 10) entry_b=$(address_at 11)

print_ini() { # NAME ZONE RPC HTTP
	cat <<INI
[daemon]
vm = $1
zone = $2
[rpc]
listen = $3
[http]
listen = $4
[log]
service = $log
[vms]
service = $vms
refresh_ms = 200
INI
}

step "starting the platform's stand-ins, two engines, a booking service"
start_process log "$standin" log --listen "$log"
cat >"$dir/vms.json" <<JSON
{"vms": [
{"id":"entry-1","zone":"rosenheim","role":"entry","address":"$(address_at 20)","state":"live"},
{"id":"entry-2","zone":"traunstein","role":"entry","address":"$(address_at 21)","state":"live"},
{"id":"runner-1","zone":"rosenheim","role":"engine","address":"$(address_at 30)","state":"live"},
{"id":"runner-2","zone":"traunstein","role":"engine","address":"$(address_at 31)","state":"live"},
{"id":"booking-1","zone":"miesbach","role":"service","service":"booking","address":"$(address_at 32)","state":"live"}]}
JSON
start_process vms "$standin" vms --listen "$vms" --file "$dir/vms.json"
start_process weights "$standin" weights --listen "$weights" --rate 2 --parallel 4
start_process engine1 "$standin" engine --listen "$(address_at 40)" --weights "$weights" \
	--cache "rule-helper=disk" --fencing
start_process engine2 "$standin" engine --listen "$(address_at 41)" --weights "$weights"
start_process service "$standin" service --listen "$(address_at 42)"

step "starting two entries and three agents in three data centres"
print_ini entry-1 rosenheim "$(address_at 20)" "$entry_a" >"$dir/entry-1.ini"
print_ini entry-2 traunstein "$(address_at 21)" "$entry_b" >"$dir/entry-2.ini"
print_ini runner-1 rosenheim "$(address_at 30)" "$(address_at 50)" >"$dir/runner-1.ini"
print_ini runner-2 traunstein "$(address_at 31)" "$(address_at 51)" >"$dir/runner-2.ini"
print_ini booking-1 miesbach "$(address_at 32)" "$(address_at 52)" >"$dir/booking-1.ini"
printf '[backend]\nengine = %s\n' "$(address_at 40)" >>"$dir/runner-1.ini"
printf '[backend]\nengine = %s\n' "$(address_at 41)" >>"$dir/runner-2.ini"
printf '[backend]\nservice = %s\nservice_name = booking\n' "$(address_at 42)" \
	>>"$dir/booking-1.ini"
for name in runner-1 runner-2 booking-1; do
	start_process "$name" "${daemon[@]}" agent --config "$dir/$name.ini"
done
for name in entry-1 entry-2; do
	start_process "$name" "${daemon[@]}" entry --config "$dir/$name.ini"
done
for address in "$entry_a" "$entry_b"; do
	await 10 curl -sf "http://$address/readyz" || fail "$address is not ready"
done

step "applying declarations"
"$bin" ctl -e "$entry_a" apply -f examples/declarations.json ||
	fail "declarations were refused"
two_slots_decided() {
	"$bin" ctl -e "$entry_a" -j status | tr -d ' \n' |
		grep -q '"slots":\[{"runner".*"slots":\[{"runner"'
}
await 10 two_slots_decided || fail "no slots were decided"

step "sending 12 requests for the cold model rule-helper to both entries"
request_completion() { # ADDRESS NUMBER
	curl -s -m $((20 * wait_factor)) "http://$1/v1/completions" -H 'Rank: urgent' \
		-H 'Content-Type: application/json' -d "{\"model\":\"rule-helper\",
		\"prompt\":\"fitter $2: which bracket for a stone wall?\",
		\"max_tokens\":12}" >"$dir/answer.$2"
}
request_pids=()
for n in 1 2 3 4 5 6; do
	request_completion "$entry_a" "$n" &
	request_pids+=($!)
	request_completion "$entry_b" "$((n + 6))" &
	request_pids+=($!)
done
wait "${request_pids[@]}"
answered=$(grep -l '"finish_reason":"length"' "$dir"/answer.* | wc -l)
echo "$answered of 12 answered; the first:"
cat "$dir/answer.1"
echo
[ "$answered" = 12 ] || fail "not all requests were answered"
loads1=$(curl -s "http://$(address_at 40)/journal" | sed 's/.*"loads":\([0-9]*\),"unl.*/\1/')
loads2=$(curl -s "http://$(address_at 41)/journal" | sed 's/.*"loads":\([0-9]*\),"unl.*/\1/')
echo "loads at the two engines: $loads1 and $loads2"
[ "$((loads1 + loads2))" = 1 ] || fail "the model was not loaded exactly once"

step "streaming from an adapter"
curl -sN -m $((20 * wait_factor)) "http://$entry_b/v1/completions" -H 'Rank: standard' \
	-d '{"model":"rule-helper-canopy","prompt":"canopy over a terrace",
	"max_tokens":3,"stream":true}' | tee "$dir/stream"
grep -q 'data: \[DONE\]' "$dir/stream" || fail "the stream is incomplete"

step "booking an appointment at the service"
curl -s -m $((10 * wait_factor)) "http://$entry_a/services/booking/appointments" \
	-H 'Rank: urgent' -d '{"balcony":"Kaiserstrasse 4"}' | tee "$dir/booking"
echo
grep -q '"booked":1' "$dir/booking" || fail "nothing was booked"

step "requesting a model that is not declared"
curl -s "http://$entry_a/v1/completions" -d '{"model":"no-such","prompt":"x"}' |
	tee "$dir/refusal"
echo
grep -q '"outcome":"not_run"' "$dir/refusal" || fail "no problem document"

step "status"
"$bin" ctl -e "$entry_b" status || fail "ctl status failed"

step "stopping all processes"
stop_all
for name in entry-1 entry-2 runner-1 runner-2 booking-1; do
	grep -q '"msg":"stopped"' "$dir/$name.log" || fail "$name did not stop cleanly"
	grep '^==[0-9]*== ' "$dir/$name.log" && fail "valgrind reported errors in $name"
done
[ "$failed" = 0 ] && echo "all steps passed"
exit $failed
