#!/bin/sh
# Builds the stand-ins of the cases 6 to 10, after the build of the deploy file. They start
# target/laburnumpassd and nothing else.
set -e
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/.standin2
