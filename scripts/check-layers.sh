#!/usr/bin/env bash
# Refuses an #include of a higher layer's header in a lower layer, or of one
# program's header in another.
set -eu
cd "$(dirname "$0")/.."

layer_of() {
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

failed=0
for file in $(git ls-files -co --exclude-standard 'src/*/*.c' 'src/*/*.h'); do
	folder=$(echo "$file" | cut -d/ -f2)
	for included in $(sed -n 's|^#include "\([a-z]*\)/.*|\1|p' "$file" | sort -u); do
		if [ "$(layer_of "$included")" -gt "$(layer_of "$folder")" ]; then
			echo "$file includes from the higher layer $included"
			failed=1
		fi
		if [ "$(layer_of "$folder")" = 5 ] && [ "$(layer_of "$included")" = 5 ] &&
		    [ "$folder" != "$included" ]; then
			echo "$file includes from another program: $included"
			failed=1
		fi
	done
done
exit $failed
