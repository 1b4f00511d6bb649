#!/bin/bash
# Prepares what the scripts of cases 10 to 12 start. The nodes are built by the deploy file; the other
# stand-ins in review/standins-3 need no build, so this only checks that they can be loaded.
set -e
cd "$(dirname "$0")/.."
test -f target/redwingcrank-node.cjs
for file in review/standins-3/*.mjs; do node --check "$file"; done
