#!/bin/sh
# Builds the stand-ins of the second review. The build of the deploy file comes first; run both in the repository root.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/standin-2
