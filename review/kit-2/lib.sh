# What the scripts of the second review share.  A script sets CASE to its
# folder, and sources this file.
ROOT=$(cd "$CASE/../.." && pwd)
TROUBLE=${TROUBLE:-1}
PEER=${PEER:-$ROOT/build/review-2/peer}
STANDIN=$ROOT/build/tamarackmast-standin
PROGRAM=$ROOT/target/tamarackmast
RECORD=$CASE/record.txt
DIR=$(mktemp -d)
PIDS=()

unable() {
	echo "cannot run: $*" | tee -a "$RECORD"
	exit 2
}

finish() {
	for pid in ${PIDS[@]+"${PIDS[@]}"} $(cat "$DIR"/*.pid 2>/dev/null); do
		kill -CONT "$pid" 2>/dev/null
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	rm -rf "$DIR"
}
trap finish EXIT
trap 'exit 2' INT TERM

: >"$RECORD"
say() { echo "$(date +%s.%3N) $*" | tee -a "$RECORD"; }
[ -x "$PEER" ] && [ -x "$STANDIN" ] && [ -x "$PROGRAM" ] ||
	unable "build the deploy file's program and review/build-2.sh first"
cd "$ROOT" || exit 2

mapfile -t PORTS < <("$PEER" ports 12)
[ ${#PORTS[@]} -eq 12 ] || unable "no free ports"
STORE=127.0.0.1:${PORTS[0]}
SIDECAR_PORT=${PORTS[1]}

# start NAME COMMAND...: its process id is in STARTED, its output in DIR/NAME
start() {
	local name=$1
	shift
	"$@" >>"$DIR/$name" 2>&1 &
	STARTED=$!
	PIDS+=("$STARTED")
}

# write TOPIC KEY VALUE: what the operator or a runner writes to the store
write() {
	say "store gets $1/$2: $3" >/dev/null
	BODY=$3 "$PEER" client "$STORE" PUT "/keys/$1/$2" 5 "Host: store" >/dev/null ||
		unable "the store takes no record"
}

start_store() {
	start store "$STANDIN" store --listen "$STORE"
	for _ in $(seq 50); do
		"$PEER" client "$STORE" GET "/-/log-newest?topic=keyed.op&part=0" 1 \
			"Host: store" >/dev/null && return
		sleep 0.1
	done
	unable "the store does not start"
}

# Addresses of gateway N, from 1: callers, readiness, other gateways.
gateway_front() { echo "127.0.21.$1:${PORTS[2]}"; }
gateway_ready() { echo "127.0.21.$1:${PORTS[3]}"; }
gateway_control() { echo "127.0.21.$1:${PORTS[4]}"; }

# render TEMPLATE SED-ARGUMENT...: the settings as the platform renders them
render() {
	local template=$1
	shift
	sed -e '/{{#bounds.quota_window_s}}/,/{{\/bounds.quota_window_s}}/d' "$@" \
		-e "s/{{platform.address}}/$STORE/" -e "s/{{port_range.0}}/$SIDECAR_PORT/" \
		-e 's/{{zone}}/midt-a/' -e 's/{{bounds.grace_s}}/8/' \
		-e 's/{{bounds.drain_ms}}/2000/' -e 's/{{bounds.retry_budget_ratio}}/0.2/' \
		-e 's/{{bounds.retry_budget_min}}/56/' -e 's/{{bounds.ceiling_window_s}}/5/' \
		-e 's/{{bounds.ceiling_overage}}/1.1/' "$ROOT/deploy/$template"
}

# start_gateway N: its process id is in GATEWAY[N]
start_gateway() {
	local n=$1
	render gateway.ini -e "s/{{node_name}}/front-$n/" -e "s/{{ip}}/127.0.21.$n/" \
		-e "s/{{listen.front}}/$(gateway_front "$n")/" \
		-e "s/{{listen.ready}}/$(gateway_ready "$n")/" \
		-e "s/{{listen.control}}/$(gateway_control "$n")/" \
		-e "s/{{seeds}}/$(gateway_control 1),$(gateway_control 2)/" >"$DIR/front-$n.ini"
	start "gateway-$n" target/tamarackmast gateway --config "$DIR/front-$n.ini"
	GATEWAY[$n]=$STARTED
}

await_ready() {
	for _ in $(seq 100); do
		"$PEER" client "$(gateway_ready "$1")" GET /-/ready 1 "Host: g" >/dev/null &&
			return
		sleep 0.1
	done
	unable "gateway $1 is not ready"
}

# start_sidecar N ADDRESS: the one beside the engine at the address
start_sidecar() {
	render sidecar.ini -e "s/{{node_name}}/side-$1/" -e "s/{{ip}}/${2%:*}/" \
		-e "s/{{app}}/$2/" -e 's/{{service}}/llm/' >"$DIR/side-$1.ini"
	start "sidecar-$1" target/tamarackmast sidecar --config "$DIR/side-$1.ini"
}

memory_kb() { awk '/^VmRSS/ { print $2 }' "/proc/$1/status" 2>/dev/null; }
