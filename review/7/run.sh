#!/usr/bin/env bash
# Two of four workers end one of 34 answers with trailers that do not end, for 5 s.
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../standin-2/run-case" "$here" EndlessTrailers
