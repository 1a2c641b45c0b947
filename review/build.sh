#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start. It needs Go and no modules. The
# programs of the project come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/stand"
mkdir -p ../bin
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../bin/stand .
