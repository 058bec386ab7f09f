#!/bin/sh
# Exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run.
exec node "$(dirname "$0")/case.mjs"
