#!/bin/sh
# Builds the stand-ins of the cases into target/review/.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
for case in review/*/case.cc; do
    number=$(basename "$(dirname "$case")")
    g++ -std=c++17 -O1 -Wall -Wextra -o "target/review/case-$number" \
        "$case" -lpthread
done
