#!/usr/bin/env bash
# Builds the stand-ins of the second review's cases, with the JDK alone. To be run after the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for number in 6 7 8 9 10; do
  if [ -e "$number/Case.java" ]; then
    mkdir -p "$number/classes"
    javac -d "$number/classes" stand-2/*.java "$number/Case.java"
  fi
done
