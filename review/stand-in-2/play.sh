#!/usr/bin/env bash
# play.sh CASE RECORD: runs the driver, and ends by their ids what it leaves behind if it is stopped.
driver=target/review-2/driver
[ -x "$driver" ] || { echo "$driver is missing; run review/build-2.sh" >&2; exit 2; }
REVIEW_PIDS=$(mktemp) || exit 2
export REVIEW_PIDS
end_processes() {
    [ -n "${child:-}" ] && kill -9 "$child" 2>/dev/null
    while read -r pid; do kill -9 "$pid" 2>/dev/null; done < "$REVIEW_PIDS"
    rm -f "$REVIEW_PIDS"
}
trap 'end_processes; exit 2' INT TERM HUP
"$driver" "$@" &
child=$!
wait "$child"
code=$?
rm -f "$REVIEW_PIDS"
exit $code
