#!/usr/bin/env bash
# Requests whose bodies contain another request, in two forms.  With TROUBLE=0
# the bodies are as long and contain no request.
. "$(dirname "$0")/../lib.sh"

begin
start_store
configure
gateway_ports
free_port RUNNER_PORT
for i in 5 6 7; do start_runner $i; done
start_gateway 2

# body ID: a booking with that id, or as many other bytes.
body() {
	local text
	text=$'POST /book/1 HTTP/1.1\r\nHost: h.example\r\nTamarackmast-Request-Id: '$1
	text+=$'\r\nTamarackmast-Deadline-Ms: 900\r\nContent-Length: 0\r\n\r\n'
	[ "$TROUBLE" = 0 ] && text=$(printf '%*s' ${#text} '' | tr ' ' x)
	printf %s "$text."
}

# send FORM ID METHOD LENGTH-HEADER: a lookup whose body is body(inside-ID).
send() {
	local inner
	inner=$(body "inside-$2")
	inner=${inner%.}
	exec 7<>"/dev/tcp/127.0.0.2/$CALLER_PORT" || cannot_run "no connection"
	printf '%s /look/1 HTTP/1.1\r\nHost: h.example\r\nTamarackmast-Request-Id: %s\r\nTamarackmast-Deadline-Ms: 900\r\n%s %d\r\n\r\n%s' \
		"$3" "$2" "$4" ${#inner} "$inner" >&7
	record "sent: $1: $3 /look/1, id $2, '$4 ${#inner}', and a body of ${#inner} bytes"
	timeout 1 cat <&7 >"$WORK/answer"
	exec 7>&-
	grep -aE '^HTTP/1|^Tamarackmast-Request-Id|done ' "$WORK/answer" | tr -d '\r' |
		sed 's/^/   answered: /' >>"$RECORD"
}

for i in 1 2 3; do
	send "a body after HEAD" "head-$i" HEAD 'Content-Length:'
	send "a space before the colon" "space-$i" POST 'Content-Length :'
done
# The same body where it is expected: this one is a sound request.
send "a body after POST" post-1 POST 'Content-Length:'

record_journals
broken=0
for id in head-{1..3} space-{1..3} post-1; do
	n=$(runs_of "inside-$id")
	[ "$n" = 0 ] || {
		record "UNASKED: a runner ran inside-$id, which was a part of the body of $id"
		broken=1
	}
done
[ "$(runs_of post-1)" = 1 ] || cannot_run "the sound request did not run"
[ $broken = 0 ] && record "held: no runner ran a request out of a body"
exit $broken
