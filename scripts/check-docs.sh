#!/usr/bin/env bash
# Compares the generated reference pages with the program's output, or writes
# them with --write.  Checks that sources write the log lines that the
# operations page names.
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

failed=0
check_page() { # FILE COMMAND...
	local file=$1
	shift
	if [ "${mode:-}" = write ]; then
		"$@" >"$file"
	elif ! "$@" | cmp -s - "$file"; then
		echo "$file differs from the program's output; run make docs"
		failed=1
	fi
}

[ "${1:-}" = --write ] && mode=write
check_page docs/SETTINGS.md print_settings
check_page docs/RESULT-CODES.md "$bin" ctl explain all
check_page docs/DECLARATIONS.md "$bin" ctl explain declarations
bash scripts/check-metrics.sh || failed=1

# The log lines of the operations page must be in the sources.
{
	grep -oE '"msg":"[^"]+"' docs/OPERATIONS.md | cut -d'"' -f4
	sed -n 's/^| \(`.*`\) |.*/\1/p' docs/OPERATIONS.md |
		grep -oE '`[a-z ]+ [a-z ]+`' | tr -d '`'
} | sort -u | while read -r line; do
	if ! cat src/gateway/*.c src/sidecar/*.c src/coordination/*.c \
	    src/common/settings_file.c | grep -qF "\"$line\""; then
		echo "docs/OPERATIONS.md names a log line that no source writes: $line"
		exit 1
	fi
done || failed=1
exit $failed
