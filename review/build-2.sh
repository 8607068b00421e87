#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. The system itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/standin-2"
rm -rf target
mkdir target
javac --release 17 -d target *.java
