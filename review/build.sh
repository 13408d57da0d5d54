#!/bin/sh
# Builds the stand-ins of all cases into target/review. Needs a JDK 17 and no network.
cd "$(dirname "$0")/.." || exit 2
mkdir -p target/review && javac -nowarn -d target/review review/standin/*.java
