#!/bin/sh
# Builds the stand-ins that the scripts of the cases start.
set -eu
cd "$(dirname "$0")/standins"
mkdir -p ../../target
go build -o ../../target/review-standins .
