# Functions that the scripts of cases 11 and above share.  A script sets CASE
# (its folder) and RECORD, sources this file, calls begin, and ends with finish.
ROOT=$(cd "$CASE/../.." && pwd)
PEER=$ROOT/target/review-3-peer
STANDIN=$ROOT/target/tamarackmast-standin
PROGRAM=$ROOT/target/tamarackmast
TROUBLE=${TROUBLE:-1}
PIDS=""

# The case could not run.
cannot() {
	echo "cannot run: $*" >&2
	exit 2
}

end_processes() {
	for pid in $PIDS; do
		kill -KILL "$pid" 2>/dev/null || true
	done
	for pid in $PIDS; do
		wait "$pid" 2>/dev/null || true
	done
	[ "${KEEP:-0}" = 1 ] || rm -rf "$DIR"
}

begin() {
	for f in "$PEER" "$STANDIN" "$PROGRAM"; do
		[ -x "$f" ] || cannot "$f is not built, see review/build-3.sh"
	done
	DIR=$(mktemp -d)
	trap end_processes EXIT
	trap 'exit 2' INT TERM
	: >"$RECORD"
	# shellcheck disable=SC2046
	set -- $("$PEER" ports 8)
	STORE=127.0.0.1:$1 FRONT=127.0.0.1:$2 READY=127.0.0.1:$3
	CONTROL=127.0.0.1:$4 SIDECAR_PORT=$5
	shift 5
	FREE_PORTS=$*
}

# start NAME COMMAND...: its output goes to DIR/NAME.log; sets LAST_PID.
start() {
	local name=$1
	shift
	"$@" >>"$DIR/$name.log" 2>&1 &
	LAST_PID=$!
	PIDS="$PIDS $LAST_PID"
}

# await SECONDS COMMAND...: until the command succeeds.
await() {
	local tries=$(($1 * 20))
	shift
	while ! "$@" >/dev/null 2>&1; do
		tries=$((tries - 1))
		[ $tries -gt 0 ] || cannot "in time: $*"
		sleep 0.05
	done
}

put() { # TOPIC KEY VALUE
	printf '%s' "$3" >"$DIR/value"
	"$PEER" call "$STORE" PUT "/keys/$1/$2" "$DIR/value" >/dev/null ||
		cannot "the store refuses $1/$2"
}

delete() { # TOPIC KEY
	"$PEER" call "$STORE" DELETE "/keys/$1/$2" >/dev/null || true
}

start_store() {
	start store "$STANDIN" store --listen "$STORE"
	await 10 "$PEER" call "$STORE" GET /
}

# The routes of appointments of the site, as the operator writes them.
configure() {
	put keyed.op config '{"version":1,"routes":[
	{"name":"termin-buchen","host":"h.example","path_prefix":"/book/",
	"kind":"unsafe","timeout_ms":1000,"latency_goal_ms":100,"priority":2,
	"service":"termindienst","max_attempts":1},
	{"name":"termin-lesen","host":"h.example","path_prefix":"/look/",
	"kind":"safe","timeout_ms":1000,"latency_goal_ms":100,"priority":2,
	"service":"termindienst","max_attempts":2}],
	"services":[{"name":"termindienst","health_path":"/health",
	"max_conns":96,"protocol":"h1","tls":false}],
	"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
	"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
}

# deploy/gateway.ini with the settings of the site.
start_gateway() {
	cat >"$DIR/gateway.ini" <<-INI
	[daemon]
	vm = front-rosenheim-a-1
	zone = rosenheim-a
	drain_ms = 8000
	[http]
	listen = $FRONT
	ready = $READY
	[peers]
	listen = $CONTROL
	seeds = $CONTROL
	[store]
	address = $STORE
	drain_within_ms = 2000
	[sidecars]
	port = $SIDECAR_PORT
	[retries]
	share = 0.2
	floor = 52
	INI
	start gateway "$PROGRAM" gateway --config "$DIR/gateway.ini"
	GATEWAY_PID=$LAST_PID
	await 10 "$PEER" call "$READY" GET /-/ready
}

# start_runner ID ADDRESS [NAME=VALUE ...]: also registers it, for the service
# of RUNNER_SERVICE.
RUNNER_SERVICE=termindienst
start_runner() {
	local id=$1 address=$2
	shift 2
	start "$id" "$PEER" runner "$address" "$id" "$RECORD" "$@"
	await 10 "$PEER" call "$address" GET /health
	put keyed.servers "$id" "{\"service\":\"$RUNNER_SERVICE\",
	\"address\":\"$address\",\"zone\":\"rosenheim-a\",\"version\":\"1\",
	\"slots\":6,\"state\":\"ready\",\"cold_left_ms\":0,\"born\":1000,\"seq\":0}"
}

# finish BROKEN TEXT: BROKEN is how often the rule was broken.
finish() {
	kill -0 "$GATEWAY_PID" 2>/dev/null || echo "the gateway has ended"
	echo "trouble $TROUBLE: $2"
	[ "$1" -eq 0 ] || exit 1
	exit 0
}
