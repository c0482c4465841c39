#!/bin/sh
# Builds the stand-in of the third review's scripts, from the standard library alone.
set -e
cd "$(dirname "$0")/standin-3"
GOPROXY=off GOWORK=off go build -o ../../target/review-3-standin .
