#!/usr/bin/env bash
# Builds the stand-ins of the cases. The system itself is built by the command of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
rm -rf target
mkdir -p target/classes
javac --release 17 -nowarn -d target/classes standin/*.java
