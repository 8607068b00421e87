#!/usr/bin/env bash
# Run after the build command of deploy/system.toml and review/build.sh.
# TROUBLE=0 leaves out the disruption.
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
cd "$(dirname "$0")/../.." || exit 2
ls platform/target/*.jar > /dev/null 2>&1 && [ -e review/target/classes/CaseShutdown.class ] || exit 2
exec timeout -k 3 110 java -Xmx256m -cp review/target/classes CaseShutdown review/3/record.txt
