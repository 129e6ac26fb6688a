#!/usr/bin/env bash
# A model runner leaves an order to load unanswered, which arrives seconds later;
# meanwhile it crashes and starts again under its id.  With TROUBLE=0 it answers
# all orders and doesn't crash.
RECORD=$(cd "$(dirname "$0")" && pwd)/record.txt
. "$(dirname "$0")/../lib.sh"

LATE_S=11

begin
start_store
configure
gateway_ports
free_port RUNNER_PORT
DISK=m1,m2,m3,m4,m5,m6,m7 start_engine 8
# Six more, which are full with models of their own.
m=8
for i in 3 4 5 6 7 9; do
	start_engine $i "m$m,m$((m + 1)),m$((m + 2))"
	m=$((m + 3))
done
start_gateway 2
# Until the machines are in touch: stable_window_ms is 3000.
sleep 4

# stream ID MODEL: one stream; its answer is in $WORK/ID.txt.
stream() {
	exec 7<>"/dev/tcp/127.0.0.2/$CALLER_PORT" || cannot_run "no connection"
	printf 'POST /stream/1 HTTP/1.1\r\nHost: h.example\r\nConnection: close\r\nTamarackmast-Request-Id: %s\r\nTamarackmast-Model: %s\r\nTamarackmast-Token-Count: 10,10\r\nTamarackmast-Prompt-Prefix: ab:5,%x:5\r\nTamarackmast-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n' \
		"$1" "$2" $RANDOM >&7
	timeout 6 cat <&7 >"$WORK/$1.txt"
	exec 7>&-
	record "stream $1 of $2: $(head -1 "$WORK/$1.txt" | tr -d '\r'), $(grep -c '^data: ' "$WORK/$1.txt") events, $(tail -c 5 "$WORK/$1.txt" | od -An -c | tr -d ' \n' | grep -q '0\\r\\n\\r\\n' && echo whole || echo "not whole")"
}

record "callers ask for m2, then m3: the runner holds three models, which fill it"
stream first-2 m2
stream first-3 m3
sleep 1
if [ "$TROUBLE" != 0 ]; then
	set_runner 8 late=$LATE_S
	record "the next order to load is left unanswered and arrives $LATE_S s later"
fi
LATE_MS=$(now_ms)
stream first-4 m4
if [ "$TROUBLE" != 0 ]; then
	set_runner 8 restart=1000
	record "the runner, one of seven, crashes and starts again under its id a second later"
	sleep 1.2
	born=$(http GET 127.0.0.8 "$RUNNER_PORT" /-/report | sed -n 's/.*"born":\([0-9]*\).*/\1/p')
	entry i-8 "127.0.0.8:$RUNNER_PORT" ready "$born" -
fi
for m in 5 6 7; do stream again-$m m$m; done
record "callers ask for models that the runner holds, one stream after the other"
set_runner 8 events=50
n=0
while [ $(($(now_ms) - LATE_MS)) -lt $((LATE_S * 1000 + 1500)) ]; do
	n=$((n + 1))
	stream last-$n m$((5 + n % 3))
	sleep 0.1
done

record_journals
[ "$(grep -c "order at-once load .* carried out" "$WORK/runner-8.txt")" -ge 5 ] || cannot_run "the models were not loaded"
if grep -q "CRASHES THE RUNNER" "$WORK"/runner-?.txt; then
	record "LIMIT: $(cat "$WORK"/runner-?.txt | grep "CRASHES THE RUNNER" | cut -d' ' -f2- | tr '\n' ';')"
	record "streams that a runner ran and that ended unfinished: $(grep -c "stream last-.* 200 OK.* not whole" "$RECORD")"
	exit 1
fi
record "held: no order was for more than the runner's memory holds"
exit 0
