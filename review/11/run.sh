#!/usr/bin/env bash
# A runner runs bookings and answers part of them with 503, without saying that
# they did not run.  See claim.txt.
set -eu
CASE=$(cd "$(dirname "$0")" && pwd)
RECORD=$CASE/record.txt
. "$CASE/../kit-3/lib.sh"
begin
# shellcheck disable=SC2086
set -- $FREE_PORTS
fail=0
[ "$TROUBLE" = 0 ] || fail=40
start_store
configure
start_runner i-0a "127.0.0.1:$1" fail_percent=$fail fail_status=503
start_runner i-0b "127.0.0.1:$2"
start_runner i-0c "127.0.0.1:$3"
start_gateway
sleep 1
"$PEER" client "$FRONT" "$RECORD" method=POST path=/book/ deadline_ms=1000 \
	count=60 gap_ms=200 || cannot "the client failed"
# REFUSED: answered 408, 421, 429 or 503, and has run.
broken=$(awk '$2 == "run" { ran[$3] = 1 }
	$2 == "got" && $4 == "status" && $5 ~ /^(408|421|429|503)$/ &&
	    $3 in ran { print }' "$RECORD" | tee "$DIR/broken" | wc -l)
subjects=$(awk '$2 == "run" { sub(/-.*/, "", $3); n[$3]++ }
	END { for (s in n) twice += n[s] > 1; print twice + 0 }' "$RECORD")
answered=$(grep -c ' status 200 bytes .* body whole' "$RECORD" || true)
[ "$answered" -gt 0 ] || cannot "nothing was answered"
finish "$broken" "$broken refused bookings had run; $subjects appointments \
were run for two attempts of a client; $answered answered 200"
