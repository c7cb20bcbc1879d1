#!/usr/bin/env bash
# Runs all tests and prints the failed ones. Exits with 0 if KNOWN-RED.txt lists every test
# that failed.
set -uo pipefail
cd "$(dirname "$0")/.."

stresser=pomelotiller/internal/daemon/stresser
log=$(mktemp)
trap 'rm -f "$log"' EXIT
run_all() {
  local code=0
  GOWORK=off go test -C tools ./... || code=1
  # The tests with untrusted callers measure memory, so they run after the others, alone.
  go test $(go list work | grep -v "^$stresser\$") || code=1
  go test "$stresser" || code=1
  return "$code"
}
run_all 2>&1 | tee "$log"
code=${PIPESTATUS[0]}
[ "$code" -eq 0 ] && exit 0
# A package that does not build, panics or times out has not run all its tests.
if grep -qE '\[(build|setup) failed\]|^panic:|^fatal error:|\(timeout|^go: [^d]' "$log"; then
  exit 1
fi
failed=$(sed -nE 's/^--- FAIL: ([^ ]+) .*/\1/p' "$log" | sort -u)
[ -n "$failed" ] || exit 1
unknown=0
for t in $failed; do
  if grep -qE "^$t( |$)" KNOWN-RED.txt; then
    echo "failed and known: $(grep -E "^$t( |$)" KNOWN-RED.txt)"
  else
    echo "failed and not known: $t"
    unknown=1
  fi
done
exit "$unknown"
