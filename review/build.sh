#!/bin/sh
# Compiles the stand-ins and the cases into review/classes. Needs the JDK only.
set -e
cd "$(dirname "$0")"
mkdir -p classes
javac -nowarn -d classes src/*.java
