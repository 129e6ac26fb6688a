#!/usr/bin/env bash
# Writes what was sent, answered and run to record.txt beside it.
# Case 8: an engine in trouble writes a head without end.  See claim.txt.
CASE=$(cd "$(dirname "$0")" && pwd)
source "$CASE/../kit-2/lib.sh"

MEMORY_KB=$((260 * 1024)) # limits.memory_mb of a front machine of the site
ROUNDS=3
ENGINE=127.0.22.1:${PORTS[5]}
BEHAVIOUR=endless-head
[ "$TROUBLE" = 0 ] && BEHAVIOUR=sound

start_store
start engine "$PEER" runner "$ENGINE" i-e1 $BEHAVIOUR
write keyed.op config '{"version":1,"routes":[{"name":"skade","host":"h.example","path_prefix":"/skade/","kind":"streaming","timeout_ms":15000,"latency_goal_ms":5000,"gap_aim_ms":600,"priority":2,"service":"llm","max_attempts":1,"sticky":true}],"services":[{"name":"llm","health_path":"/health","max_conns":370,"engine":{"slots":64,"kv_capacity":245764,"weights_mb":140000,"adapter_slots":8,"loads_per_s":2.8,"models":[{"name":"m1","weights_mb":72700,"load_s":6,"adapters":0,"adapter_mb":66}]}}],"limits":{"max_header_bytes":16384,"max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}}'
write keyed.servers i-e1 '{"service":"llm","address":"'"$ENGINE"'","zone":"midt-a","version":1,"slots":64,"state":"ready","cold_left_ms":0,"born":1000,"seq":0,"stage":"colocated","models":[{"name":"m1","version":1,"adapters":[]}]}'
start_sidecar 1 "$ENGINE"
start_gateway 1
start_gateway 2
await_ready 1
await_ready 2
sleep 3 # in touch

over=(0 0 0)
for round in $(seq $ROUNDS); do
	for n in 1 2; do
		pid=${GATEWAY[$n]}
		say "round $round: a request at gateway $n, which has $(memory_kb "$pid") kB"
		"$PEER" client "$(gateway_front $n)" POST "/skade/$round$n" 16 \
			"Host: h.example" "Tamarackmast-Request-Id: r$round$n" \
			"Tamarackmast-Model: m1" "Tamarackmast-Token-Count: 600,13" \
			"Tamarackmast-Prompt-Prefix: 5c1e07a2:400,91b$round$n:200" \
			"Tamarackmast-Deadline-Ms: 15000" "Content-Length: 0" >>"$RECORD" &
		client=$!
		PIDS+=("$client")
		peak=0
		while kill -0 "$client" 2>/dev/null; do
			kb=$(memory_kb "$pid")
			[ "${kb:-0}" -gt $peak ] && peak=$kb
			if [ $peak -gt $MEMORY_KB ]; then
				say "gateway $n has $peak kB, over $MEMORY_KB kB: the platform kills it"
				over[$n]=$((over[n] + 1))
				kill -KILL "$pid"
				break
			fi
			sleep 0.05
		done
		wait "$client" 2>/dev/null
		say "round $round, gateway $n: peak $peak kB"
		if [ $peak -gt $MEMORY_KB ]; then
			start_gateway $n # as the platform does
			await_ready $n
		fi
	done
done
sleep 0.2
cat "$DIR/engine" >>"$RECORD"
say "over the memory of its machine: gateway 1 ${over[1]} times, gateway 2 ${over[2]} times, of $ROUNDS"
if [ "${over[1]}" -ge 3 ] && [ "${over[2]}" -ge 3 ]; then
	say "broken: processes end by themselves three times on two machines"
	exit 1
fi
say "held"
exit 0
