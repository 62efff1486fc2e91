#!/usr/bin/env bash
# Builds the stand-ins and the cases, which the scripts start; run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf classes
mkdir classes
javac -Xlint:all -d classes standins/*.java [123]/*.java
