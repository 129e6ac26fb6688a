#!/usr/bin/env bash
# An order to load is left unanswered and carried out late.  Meanwhile the
# machine restarts: its sidecar, and its runner under the id that it had.  See
# claim.txt.
set -eu
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
. "$CASE/../kit-3/lib.sh"
begin
# shellcheck disable=SC2086
set -- $FREE_PORTS
ENGINE=127.0.2.1:$1
ENGINE_PORT=$1
LATE_MS=10000
OTHERS="2 3 4 5 6 7" # runners that hold other models, each with its sidecar

# SIDECAR=0: the runner alone restarts; for comparison.
SIDECAR=${SIDECAR:-1}

note() {
	echo "$(($(date +%s%N) / 1000000 - T0)) $*" >>"$RECORD"
}

start_sidecar() {
	start sidecar "$PROGRAM" sidecar --config "$DIR/sidecar.ini"
	SIDECAR_PID=$LAST_PID
}

register() { # BORN
	put keyed.servers i-e0 "{\"service\":\"sprachdienst\",
	\"address\":\"$ENGINE\",\"zone\":\"rosenheim-a\",\"version\":\"1\",
	\"slots\":64,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":$1,
	\"seq\":0,\"stage\":\"colocated\",\"models\":[]}"
}

fault() {
	printf '%s' "$1" >"$DIR/fault"
	"$PEER" call "$ENGINE" POST /faults "$DIR/fault" >/dev/null ||
		cannot "the runner takes no fault"
}

# use MODEL: a client asks for the model until it is answered.
use() {
	local tries=4
	while [ $tries -gt 0 ]; do
		tries=$((tries - 1))
		N=$((N + 1))
		"$PEER" client "$FRONT" "$RECORD" path=/ask/ model="$1" \
			prefix="$1-$N-" count=1 gap_ms=0 deadline_ms=5000
		grep -q "got $1-$N-[12]-.* status 200 " "$RECORD" && return
		grep -q "got $1-$N-1-[12] status 200 " "$RECORD" && return
		sleep 0.1
	done
	note "no answer for $1"
}

N=0
T0=$(($(date +%s%N) / 1000000))
start_store
put keyed.op config '{"version":1,"routes":[
{"name":"fitter-question","host":"h.example","path_prefix":"/ask/",
"kind":"streaming","timeout_ms":15000,"latency_goal_ms":500,"priority":0,
"service":"sprachdienst","max_attempts":2,"sticky":true,"resumable":true,
"gap_aim_ms":600}],
"services":[{"name":"sprachdienst","health_path":"/health","max_conns":360,
"protocol":"h1","tls":false,"engine":{"slots":64,"kv_capacity":240783,
"weights_mb":220000,"adapter_slots":8,"loads_per_s":2.1,"models":[
{"name":"m1","weights_mb":72700,"load_s":6,"warm_s":0.4,"disk_s":0.84},
{"name":"m2","weights_mb":72700,"load_s":6,"warm_s":0.4,"disk_s":0.84},
{"name":"m3","weights_mb":72700,"load_s":6,"warm_s":0.4,"disk_s":0.84},
{"name":"m4","weights_mb":72700,"load_s":6,"warm_s":0.4,"disk_s":0.84},
{"name":"m5","weights_mb":72700,"load_s":6,"warm_s":0.4,"disk_s":0.84},
{"name":"m6","weights_mb":72700,"load_s":6,"warm_s":0.4,"disk_s":0.84},
{"name":"m7","weights_mb":72700,"load_s":6,"warm_s":0.4,"disk_s":0.84}]}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
# 3 models of 72.7 GB fit into 220 GB.  All have been on its disk before.
start engine "$STANDIN" replica --listen "$ENGINE" --id i-e0 --born 1000 \
	--events 5 --capacity 3 --load-ms 840 --model m1 --disk m1 --disk m2 \
	--disk m3 --disk m4
ENGINE_PID=$LAST_PID
await 10 "$PEER" call "$ENGINE" GET /journal
settings() { # NUMBER
	cat <<-INI
	[daemon]
	vm = side-rosenheim-a-$1
	zone = rosenheim-a
	[rpc]
	listen = 127.0.2.$1:$SIDECAR_PORT
	[store]
	address = $STORE
	[replica]
	address = 127.0.2.$1:$ENGINE_PORT
	service = sprachdienst
	[loads]
	window_ms = 5000
	overage = 1.1
	INI
}
settings 1 >"$DIR/sidecar.ini"
for n in $OTHERS; do
	start "engine$n" "$STANDIN" replica --listen "127.0.2.$n:$ENGINE_PORT" \
		--id "i-e$n" --born 1000 --events 5 --capacity 3 --load-ms 6000 \
		--model m5 --model m6 --model m7 --disk m5 --disk m6 --disk m7
	settings "$n" >"$DIR/sidecar$n.ini"
	start "sidecar$n" "$PROGRAM" sidecar --config "$DIR/sidecar$n.ini"
	put keyed.servers "i-e$n" "{\"service\":\"sprachdienst\",
	\"address\":\"127.0.2.$n:$ENGINE_PORT\",\"zone\":\"rosenheim-a\",
	\"version\":\"1\",\"slots\":64,\"state\":\"ready\",
	\"cold_left_ms\":0,\"born\":1000,\"seq\":0,\"models\":[]}"
done
start_sidecar
register 1000
start_gateway
sleep 2
use m1
use m2
use m3
if [ "$TROUBLE" != 0 ]; then
	note "the next order to load arrives $LATE_MS ms late"
	fault "{\"late_ms\":$LATE_MS}"
fi
# m4 takes the place of another model: an unload, then the order that is late.
"$PEER" client "$FRONT" "$RECORD" path=/ask/ model=m4 prefix=m4- count=1 \
	gap_ms=0 deadline_ms=1500
sleep 1
if [ "$TROUBLE" != 0 ]; then
	note "the machine restarts"
	[ "$SIDECAR" = 0 ] || kill -KILL "$SIDECAR_PID"
	fault '{"restart_ms":500}'
	sleep 0.7
	[ "$SIDECAR" = 0 ] || start_sidecar
	register 1001
	sleep 1
fi
use m1
use m2
use m3
# The other models stay in use until the late order has come.
end=$(($(date +%s) + LATE_MS / 1000))
while [ "$(date +%s)" -lt $end ] && kill -0 "$ENGINE_PID" 2>/dev/null; do
	for m in m1 m2 m3; do
		kill -0 "$ENGINE_PID" 2>/dev/null && use "$m"
	done
	sleep 0.3
done
grep -h '"msg":"order ' "$DIR/sidecar.log" | sed 's/^/sidecar /' >>"$RECORD"
sed 's/^/runner /' "$DIR/engine.log" >>"$RECORD"
answered=$(grep -c 'status 200' "$RECORD" || true)
[ "$answered" -ge 6 ] || cannot "only $answered answers"
# LIMIT: ordered to load more than it holds; the stand-in says so and ends.
broken=$(grep -c 'order to load exceeds capacity' "$DIR/engine.log" || true)
finish "$broken" "$broken orders to load a fourth model; $answered answered"
