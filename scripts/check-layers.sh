#!/usr/bin/env bash
# Refuses an #include that reaches from a lower layer into a higher one.
set -eu
cd "$(dirname "$0")/.."

rank() {
	case "$1" in
	common) echo 0 ;;
	transport) echo 1 ;;
	protocol) echo 2 ;;
	state) echo 3 ;;
	coordination) echo 4 ;;
	entry | agent | gateway | sidecar | ctl | bench | standin) echo 5 ;;
	*) echo 9 ;;
	esac
}

bad=0
for file in $(git ls-files -co --exclude-standard 'src/*/*.c' 'src/*/*.h'); do
	own=$(echo "$file" | cut -d/ -f2)
	for other in $(sed -n 's|^#include "\([a-z]*\)/.*|\1|p' "$file" | sort -u); do
		if [ "$(rank "$other")" -gt "$(rank "$own")" ]; then
			echo "$file includes from the higher layer $other"
			bad=1
		fi
		if [ "$(rank "$own")" = 5 ] && [ "$(rank "$other")" = 5 ] &&
		    [ "$own" != "$other" ]; then
			echo "$file includes from another program: $other"
			bad=1
		fi
	done
done
exit $bad
