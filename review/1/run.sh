#!/usr/bin/env bash
# A model runner in trouble writes empty lines without end into the body of one
# stream.  With TROUBLE=0 it ends its stream as it should.
RECORD=$(cd "$(dirname "$0")" && pwd)/record.txt
. "$(dirname "$0")/../lib.sh"

MEMORY_MB=260

begin
start_store
configure
gateway_ports
free_port RUNNER_PORT
for i in 5 6 7; do start_runner $i; done
for i in 5 6 7; do set_runner $i work_ms=100; done
start_engine 8
start_gateway 2
GATEWAY=$LAUNCHED
# Until the machine is in touch: stable_window_ms is 3000.
sleep 4

memory_mb() { awk '$1 == "VmRSS:" { print int($2 / 1024) }' "/proc/$GATEWAY/status"; }

# As the platform does: "A process that exceeds memory_mb is killed."
watch_memory() {
	local mb most=0
	while [ ! -e "$WORK/stop" ] && kill -0 $GATEWAY 2>/dev/null; do
		mb=$(memory_mb 2>/dev/null)
		[ "${mb:-0}" -gt $most ] && most=$mb && echo $most >"$WORK/memory.txt"
		if [ "${mb:-0}" -gt $MEMORY_MB ]; then
			record "the gateway's memory is $mb MB, its limit $MEMORY_MB MB: it is killed"
			kill -KILL $GATEWAY
			return
		fi
		sleep 0.02
	done
}

# One client: bookings on one connection, kept for all of them.
keep_booking() {
	local n=0 line code length
	RANDOM=$1
	exec 8<>"/dev/tcp/127.0.0.2/$CALLER_PORT" || return
	while [ ! -e "$WORK/stop" ]; do
		n=$((n + 1))
		printf 'POST /book/1 HTTP/1.1\r\nHost: h.example\r\nTamarackmast-Request-Id: book-%d-%d\r\nTamarackmast-Deadline-Ms: 1000\r\nContent-Length: 0\r\n\r\n' \
			"$1" $n >&8 2>/dev/null || return
		code=0
		while IFS= read -r -t 2 line <&8; do
			line=${line%$'\r'}
			case $line in
			HTTP/1.1*) code=${line:9:3} ;;
			Content-Length:*) length=${line#*: } ;;
			"") break ;;
			esac
		done
		[ $code != 0 ] && read -r -t 2 -N "$length" line <&8
		echo "$code book-$1-$n" >>"$WORK/booked.txt"
		[ $code = 0 ] && return
		sleep 0.0$((RANDOM % 6))
	done
}

: >"$WORK/booked.txt"
watch_memory &
WATCH=$!
CLIENTS=()
for c in {1..16}; do
	keep_booking $c 2>/dev/null &
	CLIENTS+=($!)
done
record "16 clients book, each on a connection that it keeps"
sleep 1
record "memory of the gateway: $(memory_mb) MB"
[ "$TROUBLE" != 0 ] && set_runner 8 endless=1
record "sent: one stream, id stream-1; $([ "$TROUBLE" != 0 ] && echo "its runner writes empty lines into it without end" || echo "its runner ends it")"
(
	exec 7<>"/dev/tcp/127.0.0.2/$CALLER_PORT" || exit
	printf 'POST /stream/1 HTTP/1.1\r\nHost: h.example\r\nTamarackmast-Request-Id: stream-1\r\nTamarackmast-Model: m1\r\nTamarackmast-Token-Count: 10,10\r\nTamarackmast-Prompt-Prefix: ab:5,cd:5\r\nTamarackmast-Deadline-Ms: 5000\r\nContent-Length: 0\r\n\r\n' >&7
	timeout 6 cat <&7 | wc -c >"$WORK/stream.txt"
) &
STREAM=$!
sleep 3
touch "$WORK/stop"
wait $WATCH $STREAM "${CLIENTS[@]}" 2>/dev/null

record "the gateway's memory was $(cat "$WORK/memory.txt") MB at most; the stream's client had read $(cat "$WORK/stream.txt") bytes"
record_journals
record "answers to bookings (code 0: the connection was closed without one):"
sort "$WORK/booked.txt" | awk '{ print "   " $0 }' >>"$RECORD"
grep -q '^200 ' "$WORK/booked.txt" || cannot_run "no booking was answered"
# Passed on to a sound runner, from a kept connection, and closed unanswered.
closed=0
for id in $(awk '$1 == 0 { print $2 }' "$WORK/booked.txt"); do
	[ "$(runs_of "$id")" -gt 0 ] && closed=$((closed + 1))
done
if [ $closed -gt 3 ]; then
	record "LOST: $closed bookings were passed on to sound runners, which ran them, and their connections were closed without an answer"
	exit 1
fi
record "held: $closed bookings were closed without an answer"
exit 0
