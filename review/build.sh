#!/bin/sh
# Builds the stand-ins and the cases. Needs the JDK only; call it from anywhere.
set -e
cd "$(dirname "$0")"
rm -rf out
mkdir out
javac -d out $(find standins [0-9]* -name '*.java' 2>/dev/null)
