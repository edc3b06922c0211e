#!/usr/bin/env bash
# Builds the stand-ins of cases 11 to 15.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin-3 ./review/standin-3
