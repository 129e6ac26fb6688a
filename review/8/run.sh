#!/usr/bin/env bash
# Case 8: a runner whose entry was removed gets requests again after the store
# came back from a copy some seconds old.  See claim.txt.
CASE=$(cd "$(dirname "$0")" && pwd)
source "$CASE/../kit-2/lib.sh"

DRAIN_S=2 # bounds.drain_ms
LEAVES=127.0.22.1:${PORTS[5]}
STAYS=127.0.22.2:${PORTS[5]}

# store METHOD PATH BODY
store() {
	BODY=$3 "$PEER" client "$STORE" "$1" "$2" 5 "Host: store" >/dev/null ||
		unable "the store refuses $1 $2"
}
entry() {
	echo '{"service":"app","address":"'"$1"'","zone":"midt-a","version":1,"slots":6,"state":"ready","cold_left_ms":0,"born":'"$2"',"seq":0}'
}

start_store
export WORK_MS=300
start leaves "$PEER" runner "$LEAVES" i-s1 sound
leaves=$STARTED
start stays "$PEER" runner "$STAYS" i-s2 sound
write keyed.op config '{"version":1,"routes":[{"name":"bestill","host":"h.example","path_prefix":"/app/","kind":"unsafe","timeout_ms":2000,"latency_goal_ms":400,"priority":2,"service":"app","max_attempts":1}],"services":[{"name":"app","health_path":"/health","max_conns":110}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
write keyed.servers i-s1 "$(entry "$LEAVES" 1000)"
write keyed.servers i-s2 "$(entry "$STAYS" 1001)"
start_gateway 1
await_ready 1
sleep 3 # the store is stable, the gateway in touch

# Ten bookings a second, until the file "stop" exists.
callers() {
	local i=0
	while [ ! -e "$DIR/stop" ]; do
		i=$((i + 1))
		"$PEER" client "$(gateway_front 1)" POST "/app/$i" 2 "Host: h.example" \
			"Tamarackmast-Request-Id: q$i" "Tamarackmast-Deadline-Ms: 2000" \
			"Content-Length: 0" >>"$DIR/callers" &
		sleep 0.1
	done
	wait
}
callers &
PIDS+=($!)
sleep 2
say "before: $(grep -c runs "$DIR/leaves") requests ran at i-s1, $(grep -c runs "$DIR/stays") at i-s2"
[ "$(grep -c runs "$DIR/leaves")" -gt 0 ] || unable "i-s1 gets no requests"

write keyed.op note "a record of the operator"
store DELETE /keys/keyed.servers/i-s1 ""
removed=$(date +%s.%3N)
say "the store acknowledges that i-s1 is gone; it goes on serving for a while"
sleep 3.5
if [ "$TROUBLE" != 0 ]; then
	store POST /faults '{"silent":true}'
	say "the store is away"
	sleep 0.5
	store POST /faults '{"go_back":1}'
	store POST /faults '{"silent":false}'
	say "the store is back from a copy some seconds old, with the next Store-Era"
	write keyed.op note "a record of the operator"
else
	sleep 0.5
fi
back=$(date +%s.%3N)
sleep 3.4
kill -KILL "$leaves"
say "i-s1 has served long enough, and exits"
sleep 0.2
store DELETE /keys/keyed.servers/i-s1 ""
say "the entry of i-s1 lapses, as it writes nothing"
sleep 1
touch "$DIR/stop"
sleep 2.5

late=$(awk -v t="$removed" -v d=$DRAIN_S '/runs/ && $1 > t + d' "$DIR/leaves" | wc -l)
touched=$(awk -v t="$back" '/runs/ && $1 > t + 3' "$DIR/leaves" | wc -l)
{
	cat "$DIR/leaves"
	grep -v '200 OK' "$DIR/callers"
} >>"$RECORD"
say "answered: $(grep -c '200 OK' "$DIR/callers") of $(wc -l <"$DIR/callers") bookings"
say "at i-s1 later than drain_ms after the acknowledgement: $late requests, $touched of them later than stable_window_ms after the store was back"
if [ "$touched" -gt 0 ]; then
	say "broken: DRAIN"
	exit 1
fi
say "held"
exit 0
