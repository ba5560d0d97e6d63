#!/usr/bin/env bash
# Builds the stand-ins that the cases 11 to 15 start; needs the packages that the build of the deploy file has installed.
set -eu
cd "$(dirname "$0")/.."
npm run -s build
