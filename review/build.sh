#!/bin/sh
# Builds the stand-ins: Python programs without dependencies, which are compiled
# so that an error in them shows here. The hosts need the deploy file's build.
cd "$(dirname "$0")" && python3 -m compileall -q standins ?
