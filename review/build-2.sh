#!/bin/sh
# Builds the stand-ins of the cases 4 to 8 (plain Java, no dependency). Run it in the repository,
# after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -encoding UTF-8 -d target/review-2 review/standin-2/*.java
echo "review stand-ins are in target/review-2"
