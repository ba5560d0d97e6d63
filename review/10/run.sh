#!/bin/sh
# Runs the case; TROUBLE=0 leaves the disruption out. Exit code 1: the rule was broken, 0: it held, 2: it couldn't run.
cd "$(dirname "$0")" && exec node case.mjs
