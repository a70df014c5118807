#!/bin/sh
# Builds the stand-ins that the cases start: the store, the workers and the clients, one program.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/_standin
