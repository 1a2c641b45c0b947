#!/usr/bin/env bash
# Builds the stand-ins that the scripts of cases 6 to 10 start, below out/. It needs Go and no modules.
# The programs of the project come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand-2"
mkdir -p ../../out/review-2
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../out/review-2/stand-2 .
