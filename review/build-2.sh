#!/bin/sh
# The stand-ins of the cases from 4 on are plain modules without dependencies: there is nothing to
# compile. This checks that they can be parsed, and that the program they start was built.
cd "$(dirname "$0")/.." || exit 2
for file in review/standins-2/*.mjs review/[4-8]/main.mjs; do
  node --check "$file" || exit 1
done
test -f target/redwingcrank-node.cjs || { echo 'run the build of deploy/system.toml first'; exit 1; }
