#!/bin/sh
# Builds the stand-ins of the cases 6 to 9, after the build of the deploy file. Needs the JDK only.
cd "$(dirname "$0")/.." || exit 2
rm -rf target/review-2
mkdir -p target/review-2 && exec javac -Xlint:all -d target/review-2 review/standins-2/*.java
