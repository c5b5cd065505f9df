#!/bin/sh
# Builds what the scripts of review/6 to review/10 start beside the daemon:
# each case holds its own store, replicas and clients.  The daemon itself is
# built by the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/*/case.cc; do
    case=$(basename "$(dirname "$source")")
    if [ "$case" -ge 6 ]; then
        g++ -std=c++17 -O1 -Wall -Wextra -pthread \
            -o "target/review-2/case-$case" "$source"
    fi
done
