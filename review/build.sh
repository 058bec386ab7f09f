#!/bin/sh
# The stand-ins are plain ECMAScript modules without dependencies: nothing has
# to be compiled, so this only checks their syntax.
set -e
cd "$(dirname "$0")"
for file in lib/*.mjs */case.mjs; do
  node --check "$file"
done
