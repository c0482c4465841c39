#!/bin/sh
# Builds the stand-ins of all cases into target/review. Needs no network.
set -e
cd "$(dirname "$0")/.."
GOPROXY=off go build -tags review -o target/review/standin ./review/standin
