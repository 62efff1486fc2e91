#!/usr/bin/env bash
# Runs one case: run-case.sh FOLDER CLASS [seed N]. Exits with 0 if the rule held, 1 if it was
# broken, and 2 if the case could not run.
set -u
folder=$(cd "$1" && pwd)
class=$2
seed=${4:-1}
root=$(cd "$(dirname "$0")/../.." && pwd)
classes=$root/review/standins-2/classes
if [ ! -f "$root/target/cresschute.jar" ] || [ ! -f "$classes/review2/$class.class" ]; then
    echo "build first: the deploy file's build, then review/build-2.sh"
    exit 2
fi
timeout -k 3 116 java -cp "$classes" "review2.$class" "$root" "$folder" "$seed"
case $? in
    0) exit 0 ;;
    3) exit 1 ;;
    *) exit 2 ;;
esac
