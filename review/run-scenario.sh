#!/usr/bin/env bash
# run-scenario.sh SCENARIO FOLDER: runs a scenario against the program that the deploy file names.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the scenario could not run.
set -u
record="$(cd "$2" && pwd)/record.txt"
cd "$(dirname "$0")/.." || exit 2
program="$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml | head -n 1)"
standin=target/review/standin
if [ ! -x "$standin" ] || [ ! -x "$program" ]; then
  echo "not built: run the build of the deploy file and review/build.sh"
  exit 2
fi
folder="$(mktemp -d)"
cleanup() {
  # Ends the hosts also when the scenario was ended from outside.
  if [ -f "$folder/pids" ]; then
    while read -r pid; do
      if [ "$(readlink "/proc/$pid/exe" 2>/dev/null)" = "$(readlink -f "$program")" ]; then
        kill -KILL "$pid" 2>/dev/null
      fi
    done < "$folder/pids"
  fi
  rm -rf "$folder"
}
trap cleanup EXIT
trap 'kill "$child" 2>/dev/null; exit 2' INT TERM
timeout 116 "$standin" "$1" "$program" "$folder" "$record" &
child=$!
wait "$child"
case $? in
  0) exit 0 ;;
  1) exit 1 ;;
  *) exit 2 ;;
esac
