#!/usr/bin/env bash
# Builds the stand-ins of the second review. Needs a JDK alone.
set -eu
cd "$(dirname "$0")/standins-2"
rm -rf classes
mkdir classes
javac -Xlint:all -d classes src/review2/*.java
