#!/bin/sh
# Runs this case. Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run.
# TROUBLE=0 leaves out the disruption. Needs the build of the deploy file and review/build-2.sh.
folder=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$folder/../.." && pwd)
program="$root/target/review-2/case-$(basename "$folder")"
[ -x "$program" ] && [ -x "$root/target/release/storage-gateway" ] || { echo "build first: the deploy file's build, and review/build-2.sh"; exit 2; }
temp=$(mktemp -d) || exit 2
end() {
    # The program ends its processes itself, except if it failed.
    [ "$1" -gt 1 ] && [ -f "$temp/pids" ] && while read -r pid; do kill -KILL "$pid" 2>/dev/null; done < "$temp/pids"
    rm -rf "$temp"
}
trap 'kill -KILL "$child" 2>/dev/null; end 2; exit 2' INT TERM HUP
"$program" "$root" "$folder" "$temp" &
child=$!
wait "$child"
code=$?
end "$code"
[ "$code" -le 1 ] && exit "$code"
exit 2
