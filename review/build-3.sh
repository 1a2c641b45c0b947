#!/bin/sh
# Builds the stand-ins of the cases of the third review, into target/review-3/.
set -e
cd "$(dirname "$0")/stand-3"
mkdir -p ../../target/review-3
GOWORK=off CGO_ENABLED=0 go build -o ../../target/review-3/stand3 .
