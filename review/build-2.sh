#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases 6 to 10 start. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target
CGO_ENABLED=0 GOWORK=off GOFLAGS=-mod=mod go build -o ../../target/review-standin-2 .
