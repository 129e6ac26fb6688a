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

# Every line that the operations page names is written by some source.
{
	grep -oE '"msg":"[^"]+"' docs/OPERATIONS.md | cut -d'"' -f4
	sed -n 's/^| \(`.*`\) |.*/\1/p' docs/OPERATIONS.md |
		grep -oE '`[a-z ]+ [a-z ]+`' | tr -d '`'
} | sort -u | while read -r line; do
	if ! cat src/gateway/*.c src/sidecar/*.c src/coordination/*.c \
	    src/common/settings_file.c | grep -qF "\"$line\""; then
		echo "docs/OPERATIONS.md names a line that nothing writes: $line"
		exit 1
	fi
done || bad=1
exit $bad
