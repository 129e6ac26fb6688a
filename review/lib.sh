# Functions that the cases share.  A case sources this file from its run.sh, with
# RECORD set to the record that it writes.
#
# It starts a small deployment on loopback: the store's stand-in, stand-ins of
# the runners of one plain service, and gateways with the command of
# deploy/system.toml and settings rendered from deploy/gateway.ini.  All
# processes that it starts are ended by id at the exit.
#
# Exit codes of a case: 0 the rule held, 1 it was broken, 2 it could not run.

TOP=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
TROUBLE=${TROUBLE:-1}
WORK=
PIDS=()
RUNNER_PID=()

# Bounds of the deployment, as in the sheet of mvo-plattform.
DRAIN_MS=2000
GRACE_S=8
RETRY_RATIO=0.2
RETRY_MIN=52

now_ms() { date +%s%3N; }

# Milliseconds since the start of the case.
since() { echo $(($(now_ms) - START_MS)); }

record() { echo "$(since) ms  $*" | tee -a "$RECORD" >&2; }

cannot_run() {
	record "cannot run: $*"
	exit 2
}

end_all() {
	local pid
	for pid in "${PIDS[@]}"; do kill -KILL "$pid" 2>/dev/null; done
	for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null; done
	[ -n "$WORK" ] && [ -z "${KEEP:-}" ] && rm -rf "$WORK"
}

begin() {
	START_MS=$(now_ms)
	: >"$RECORD"
	WORK=$(mktemp -d)
	trap end_all EXIT
	trap 'exit 2' INT TERM
	record "TROUBLE=$TROUBLE"
	cd "$TOP" || exit 2
	[ -x target/tamarackmast ] || cannot_run "target/tamarackmast is not built"
	[ -x build/tamarackmast-standin ] && [ -x build/review/runner ] ||
		cannot_run "review/build.sh has not run"
}

listens() { (exec 3<>"/dev/tcp/$1/$2") 2>/dev/null; }

# Sets the variable named to a port that nothing listens on at 127.0.0.1 to 9.
free_port() {
	local port host try busy
	for try in {1..50}; do
		port=$((20000 + RANDOM % 12000))
		busy=
		for host in 1 2 3 4 5 6 7 8 9; do
			listens 127.0.0.$host $port && busy=1
		done
		[ -z "$busy" ] && {
			printf -v "$1" %s "$port"
			return
		}
	done
	cannot_run "no free port"
}

await_port() {
	local try
	for try in {1..100}; do
		listens "$1" "$2" && return
		sleep 0.05
	done
	cannot_run "nothing listens at $1:$2"
}

# launch NAME COMMAND...: in the background; its id is then in LAUNCHED.
launch() {
	local name=$1
	shift
	"$@" >"$WORK/$name.log" 2>&1 &
	LAUNCHED=$!
	PIDS+=("$LAUNCHED")
}

# http METHOD HOST PORT PATH [BODY]: prints the answer, head and body.
http() {
	local body=${5:-}
	exec 9<>"/dev/tcp/$2/$3" || return 1
	printf '%s %s HTTP/1.1\r\nHost: x\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s' \
		"$1" "$4" "${#body}" "$body" >&9
	timeout 5 cat <&9
	exec 9>&-
}

must() { "$@" | grep -q '^HTTP/1.1 200' || cannot_run "no success: ${*:1:5}"; }

start_store() {
	free_port STORE_PORT
	launch store build/tamarackmast-standin store --listen 127.0.0.1:$STORE_PORT
	await_port 127.0.0.1 $STORE_PORT
}

# put TOPIC KEY VALUE, drop TOPIC KEY: as the operator or a runner writes.
put() { must http PUT 127.0.0.1 "$STORE_PORT" "/keys/$1/$2" "$3"; }
drop() { must http DELETE 127.0.0.1 "$STORE_PORT" "/keys/$1/$2"; }

configure() {
	local models= m
	for m in {1..25}; do
		models+=${models:+,}'{"name":"m'$m'","weights_mb":65100,"load_s":6,"disk_s":0.76,"warm_s":0.38,"adapters":0,"adapter_mb":12}'
	done
	put keyed.op config '{"version":1,"routes":[
{"name":"book","host":"h.example","path_prefix":"/book/","kind":"unsafe","timeout_ms":1000,"latency_goal_ms":100,"priority":2,"service":"termindienst","max_attempts":2},
{"name":"look","host":"h.example","path_prefix":"/look/","kind":"safe","timeout_ms":1000,"latency_goal_ms":100,"priority":2,"service":"termindienst","max_attempts":2},
{"name":"stream","host":"h.example","path_prefix":"/stream/","kind":"streaming","timeout_ms":5000,"latency_goal_ms":1000,"priority":1,"service":"sprachdienst","max_attempts":2,"sticky":true,"resumable":true,"gap_aim_ms":600}],
"services":[{"name":"termindienst","health_path":"/health","max_conns":96},
{"name":"sprachdienst","health_path":"/health","max_conns":360,"engine":{"slots":64,"kv_capacity":240783,"weights_mb":220000,"adapter_slots":8,"loads_per_s":2.1,"models":['"$models"']}}],
"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
}

# entry ID ADDRESS STATE BORN [MODELS]: a runner's record, as it writes it; MODELS
# are separated by commas, and - stands for a model runner that holds none.
entry() {
	local service=termindienst slots=6 models=
	if [ -n "${5:-}" ]; then
		service=sprachdienst slots=64
		models=$(sed 's/^-$//; s/[^,][^,]*/{"name":"&","version":1,"adapters":[]}/g' <<<"$5")
		models=",\"stage\":\"colocated\",\"models\":[$models]"
	fi
	put keyed.servers "$1" "{\"service\":\"$service\",\"address\":\"$2\",\"zone\":\"a\",\"version\":\"1\",\"slots\":$slots,\"state\":\"$3\",\"cold_left_ms\":0$models,\"born\":$4,\"seq\":0}"
}

# start_gateway I: on 127.0.0.I; callers' port CALLER_PORT.
start_gateway() {
	local ip=127.0.0.$1
	sed -e "s/{{node_name}}/front-a-$1/" -e "s/{{zone}}/a/" \
		-e "s/{{bounds.grace_s}}/$GRACE_S/" \
		-e "s/{{listen.front}}/$ip:$CALLER_PORT/" \
		-e "s/{{listen.ready}}/$ip:$READY_PORT/" \
		-e "s/{{ip}}:7381/$ip:$METRICS_PORT/" \
		-e "s/{{listen.control}}/$ip:$CONTROL_PORT/" \
		-e "s/{{seeds}}/127.0.0.2:$CONTROL_PORT/" \
		-e "s/{{platform.address}}/127.0.0.1:$STORE_PORT/" \
		-e "s/{{bounds.drain_ms}}/$DRAIN_MS/" \
		-e "s/{{port_range.0}}/$SIDECAR_PORT/" \
		-e "s/{{bounds.retry_budget_ratio}}/$RETRY_RATIO/" \
		-e "s/{{bounds.retry_budget_min}}/$RETRY_MIN/" \
		deploy/gateway.ini >"$WORK/gateway-$1.ini"
	launch "gateway-$1" target/tamarackmast gateway --config "$WORK/gateway-$1.ini"
	await_port "$ip" "$READY_PORT"
	local try
	for try in {1..100}; do
		http GET "$ip" "$READY_PORT" /-/ready | grep -q '^HTTP/1.1 200' && return
		sleep 0.05
	done
	cannot_run "the gateway is not ready"
}

gateway_ports() {
	free_port CALLER_PORT
	free_port READY_PORT
	free_port METRICS_PORT
	free_port CONTROL_PORT
	free_port SIDECAR_PORT
}

# start_runner I: on 127.0.0.I, with id i-I, journal $WORK/runner-I.txt.
start_runner() {
	local ip=127.0.0.$1
	launch "runner-$1" build/review/runner "$ip:$RUNNER_PORT" "i-$1" "$WORK/runner-$1.txt"
	RUNNER_PID[$1]=$LAUNCHED
	await_port "$ip" "$RUNNER_PORT"
	entry "i-$1" "$ip:$RUNNER_PORT" ready "$(now_ms)"
}

# set_runner I NAME=VALUE
set_runner() { must http POST "127.0.0.$1" "$RUNNER_PORT" "/-/set?$2"; }

# Runs of the request with this id, over all runners.
runs_of() { cat "$WORK"/runner-*.txt | awk -v id="$1" '$2 == "ran" && $3 == id' | wc -l; }

# Copies what the runners have seen to the record.
record_journals() {
	local f
	for f in "$WORK"/runner-*.txt; do
		record "requests at $(basename "$f" .txt):"
		awk -v t="$START_MS" '{ $1 = ($1 - t) " ms "; print "   " $0 }' "$f" >>"$RECORD"
	done
}

# ask ID GATEWAY METHOD PATH: one request on a connection of its own.  Appends
# "sent-ms answered-ms code leaving id gateway path" to $WORK/asked.txt; the code
# is 0 if the connection ended without an answer.
ask() {
	local sent answer code leaving
	sent=$(now_ms)
	answer=$(
		exec 8<>"/dev/tcp/127.0.0.$2/$CALLER_PORT" || exit
		printf '%s %s HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nTamarackmast-Request-Id: %s\r\nTamarackmast-Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n' \
			"$3" "$4" "$1" >&8
		timeout 2 cat <&8
	) 2>/dev/null
	code=$(sed -n '1s/^HTTP\/1.1 \([0-9]*\).*/\1/p' <<<"$answer")
	leaving=$(grep -qi '^Server-Leaving: 1' <<<"$answer" && echo leaving || echo -)
	echo "$sent $(now_ms) ${code:-0} $leaving $1 $2 $4" >>"$WORK/asked.txt"
}

store_faults() { must http POST 127.0.0.1 "$STORE_PORT" /faults "$1"; }

# start_model_runner I [MODELS]: on 127.0.0.I; it holds these models (-: none), or m1, and
# has copies of DISK, or of what it holds.
start_model_runner() {
	local ip=127.0.0.$1 born models=${2:-m1}
	born=$(now_ms)
	launch "runner-$1" build/review/runner "$ip:$RUNNER_PORT" "i-$1" "$WORK/runner-$1.txt" \
		"$models" "$born" "${DISK:-$models}"
	RUNNER_PID[$1]=$LAUNCHED
	await_port "$ip" "$RUNNER_PORT"
	entry "i-$1" "$ip:$RUNNER_PORT" ready "$born" "$models"
}

# start_engine I [MODELS]: a model runner, with the sidecar beside it.
start_engine() {
	local ip=127.0.0.$1
	start_model_runner "$@"
	sed -e "s/{{node_name}}/side-a-$1/" -e "s/{{zone}}/a/" \
		-e "s/{{ip}}:{{port_range.0}}/$ip:$SIDECAR_PORT/" \
		-e "s/{{ip}}:7381/$ip:$METRICS_PORT/" \
		-e "s/{{platform.address}}/127.0.0.1:$STORE_PORT/" \
		-e "s/{{app}}/$ip:$RUNNER_PORT/" -e "s/{{service}}/sprachdienst/" \
		-e "s/{{bounds.ceiling_window_s}}/5/" -e "s/{{bounds.ceiling_overage}}/1.1/" \
		deploy/sidecar.ini >"$WORK/sidecar-$1.ini"
	launch "sidecar-$1" target/tamarackmast sidecar --config "$WORK/sidecar-$1.ini"
	await_port "$ip" "$SIDECAR_PORT"
}

# hidden ID: a booking with that id, as the body of another request; with
# TROUBLE=0 as many bytes that contain no request.  It ends with a dot, which
# isn't a part of it.
hidden() {
	local text
	text=$'POST /book/1 HTTP/1.1\r\nHost: h.example\r\nTamarackmast-Request-Id: '$1
	text+=$'\r\nTamarackmast-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n'
	[ "$TROUBLE" = 0 ] && text=$(printf '%*s' ${#text} '' | tr ' ' x)
	printf %s "$text."
}

# send_hiding ID METHOD HEADER: a lookup whose body is hidden(inside-ID); LEN in
# the header stands for the length of the body.
send_hiding() {
	local body
	body=$(hidden "inside-$1")
	body=${body%.}
	exec 7<>"/dev/tcp/127.0.0.2/$CALLER_PORT" || cannot_run "no connection"
	printf '%s /look/1 HTTP/1.1\r\nHost: h.example\r\nTamarackmast-Request-Id: %s\r\nTamarackmast-Deadline-Ms: 900\r\n%s\r\n\r\n%s' \
		"$2" "$1" "${3/LEN/${#body}}" "$body" >&7
	record "sent: $2 /look/1, id $1, with '${3/LEN/${#body}}' and a body of ${#body} bytes"
	timeout 1 cat <&7 >"$WORK/answer"
	exec 7>&-
	grep -aE '^HTTP/1|^Tamarackmast-Request-Id|done ' "$WORK/answer" | tr -d '\r' |
		sed 's/^/   answered: /' >>"$RECORD"
}

# judge_hidden ID...: ends the case.
judge_hidden() {
	local id broken=0
	record_journals
	for id in "$@"; do
		[ "$(runs_of "inside-$id")" = 0 ] && continue
		record "UNASKED: a runner ran inside-$id, which was a part of the body of $id"
		broken=1
	done
	[ $broken = 0 ] && record "held: no runner ran a request out of a body"
	exit $broken
}
