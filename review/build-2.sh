#!/bin/sh
# Builds the stand-ins of the second review into target/review-2. It needs Go and no network.
set -e
cd "$(dirname "$0")/standin-2"
mkdir -p ../../target/review-2
GOTOOLCHAIN=local GOFLAGS=-buildvcs=false go build -o ../../target/review-2/bed .
