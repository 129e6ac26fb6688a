# Starts deployments on loopback and kills them by process id.  Sourced by
# bench.sh, capacity.sh and compare-builds.sh, with a scratch directory in $dir.

bin=${BUILD:-build}/tamarackmast
standin=${BUILD:-build}/tamarackmast-standin
port_base=${BENCH_PORT:-30000}
port_next=$port_base
declare -A pid_of=()
declare -A http_of=()
entry_names=()
agent_names=()
vm_entries=()

next_address() { # sets $address
	address=127.0.0.1:$port_next
	port_next=$((port_next + 1))
}

start_process() { # NAME COMMAND...
	local name=$1
	shift
	"$@" >"$dir/$name.out" 2>"$dir/$name.log" &
	pid_of[$name]=$!
}

# Repeats the command until it succeeds; returns 1 after so many seconds.
await() { # SECONDS COMMAND...
	local limit=$(($1 * 20))
	shift
	for ((i = 0; i < limit; i++)); do
		"$@" >/dev/null 2>&1 && return 0
		sleep 0.05
	done
	echo "condition not met in time: $*" >&2
	return 1
}

http_succeeds() { curl -sf -m 2 "http://$1" >/dev/null; }

kill_all() {
	local pid
	for pid in "${pid_of[@]}"; do
		kill -KILL "$pid" 2>/dev/null
	done
	wait 2>/dev/null
	pid_of=() http_of=() entry_names=() agent_names=() vm_entries=()
	port_next=$port_base
}

zone_of() { echo "zone-$(($1 % 3 + 1))"; }

# Starts the stand-ins of the log, VM list and weight store; sets $log, $vms and
# $weights.  The arguments are those of the weight store.
start_platform() { # [ARGUMENT...]
	next_address && log=$address
	next_address && vms=$address
	next_address && weights=$address
	start_process log "$standin" log --listen "$log"
	start_process weights "$standin" weights --listen "$weights" "$@"
	start_process vms "$standin" vms --listen "$vms"
	await 10 http_succeeds "$log/faults" && await 10 http_succeeds "$vms/faults"
}

start_engine() { # NAME [ARGUMENT...]; sets $engine
	local name=$1
	shift
	next_address && engine=$address
	start_process "$name" "$standin" engine --listen "$engine" \
		--weights "$weights" "$@"
}

# Starts a daemon that publish_vm_list() will list with LIST-ROLE.
start_daemon() { # entry|agent NAME ZONE LIST-ROLE [INI-LINE...]
	local program=$1 name=$2 zone=$3 role=$4 rpc http
	shift 4
	next_address && rpc=$address
	next_address && http=$address
	cat >"$dir/$name.ini" <<-INI
		[daemon]
		vm = $name
		zone = $zone
		[rpc]
		listen = $rpc
		[http]
		listen = $http
		[log]
		service = $log
		[vms]
		service = $vms
	INI
	printf '%s\n' "$@" >>"$dir/$name.ini"
	http_of[$name]=$http
	case $program in
	entry) entry_names+=("$name") ;;
	agent) agent_names+=("$name") ;;
	esac
	vm_entries+=("{\"id\":\"$name\",\"zone\":\"$zone\",\"role\":\"$role\",\"service\":\"booking\",\"address\":\"$rpc\",\"state\":\"live\"}")
	start_process "$name" "$bin" "$program" --config "$dir/$name.ini"
}

# Lists all daemons started so far and waits until each is ready.
publish_vm_list() {
	local name
	(
		IFS=,
		echo "{\"vms\":[${vm_entries[*]}]}"
	) >"$dir/vms.json"
	curl -sf -X PUT "http://$vms/vms" --data-binary "@$dir/vms.json" \
		>/dev/null
	for name in "${entry_names[@]}" "${agent_names[@]}"; do
		await 30 http_succeeds "${http_of[$name]}/readyz" || return 1
	done
}

metric() { # HTTP-ADDRESS SERIES
	curl -s -m 5 "http://$1/metrics" |
		awk -v s="$2" '$1 == s { print $2; found = 1 }
			END { if (!found) print 0 }'
}

# Prints the offset after the last record of a stream.
log_end_offset() { # STREAM
	curl -s -m 5 -D - -o /dev/null \
		"http://$log/streams/$1?from=1000000000&wait_ms=0" |
		tr -d '\r' | awk 'tolower($1) == "log-end:" { print $2 }'
}

config_at_least() { # DAEMON VERSION
	[ "$(metric "${http_of[$1]}" config_version)" -ge "$2" ]
}

cpu_ns() { # PID; prints its CPU time
	awk '{ print $1 }' "/proc/$1/schedstat"
}
