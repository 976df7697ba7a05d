#!/usr/bin/env bash
# Builds the stand-ins of the second review's scripts. It needs no network: they use the standard library alone.
# The project's program is built by the build line of deploy/system.toml, before this.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -C review/standins-2 -o ../../target/review-2 .
