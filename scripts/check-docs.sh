#!/usr/bin/env bash
# Compares the generated reference pages with what the program prints.
# With --write, writes them.
set -eu
cd "$(dirname "$0")/.."
bin=${BUILD:-build}/tamarackmast

print_settings() {
	echo "# Settings"
	echo
	echo "Written by \`make docs\` from the option tables."
	for program in entry agent gateway sidecar; do
		echo
		echo "## $program"
		echo
		"$bin" "$program" --print-options
	done
}

bad=0
page() { # FILE COMMAND...
	local file=$1
	shift
	if [ "${mode:-}" = write ]; then
		"$@" >"$file"
	elif ! "$@" | cmp -s - "$file"; then
		echo "$file is not what the program prints; run make docs"
		bad=1
	fi
}

[ "${1:-}" = --write ] && mode=write
page docs/SETTINGS.md print_settings
page docs/RESULT-CODES.md "$bin" ctl explain all
page docs/DECLARATIONS.md "$bin" ctl explain declarations
bash scripts/check-metrics.sh || bad=1
exit $bad
