#!/usr/bin/env bash
here="$(cd "$(dirname "$0")" && pwd)"
exec "$here/../standins-2/run-case" "$here" LateCopy
