#!/bin/sh
# Replaces four of five core machines, one after the other. TROUBLE=0 replaces none.
# Writes what was sent, answered and run to record.txt beside this file. Exits with 1 if the rule was broken, 0 if it
# held, 2 if the case could not run.
here="$(cd "$(dirname "$0")" && pwd)" || exit 2
record="$here/record.txt"
echo "case rolling, TROUBLE=${TROUBLE:-1}" >"$record" || exit 2
cd "$here/../.." || exit 2
for program in target/hyssoprudder-managed target/review-standins; do
  if [ ! -x "$program" ]; then
    echo "could not run: $program is not built" >>"$record"
    exit 2
  fi
done
target/review-standins rolling "$record" &
program=$!
trap 'kill "$program"' INT TERM
wait "$program"
code=$?
if [ "$code" -gt 128 ]; then
  wait "$program" # a signal came; the program ends its processes first
  code=2
fi
[ "$code" -le 1 ] || code=2
echo "exit code $code: 1 the rule was broken, 0 it held, 2 the case could not run" >>"$record"
exit "$code"
