#!/usr/bin/env bash
# The stand-ins of the scripts are plain modules in lib/ without dependencies; this only checks that they load.
set -euo pipefail
cd "$(dirname "$0")"
for file in lib/*.mjs [1-5]/run.mjs; do
    [ -e "$file" ] && node --check "$file"
done
