#!/usr/bin/env bash
# Runs a case: folder, class. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
root=$(cd "$(dirname "$0")/.." && pwd)
if [ ! -d "$root/review/classes" ] || [ ! -f "$root/target/cresschute.jar" ]; then
  echo "build first: the build command of deploy/balancer.toml, then review/build.sh" >&2
  exit 2
fi
timeout -k 5 115 java -cp "$root/review/classes" "$2" "$root" "$1"
case $? in
  0) exit 0 ;;
  10) exit 1 ;;
  *) exit 2 ;;
esac
