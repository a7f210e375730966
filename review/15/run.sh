#!/usr/bin/env bash
# Runs the case; TROUBLE=0 leaves the disruption out. Exits with 0, 1 or 2.
cd "$(dirname "$0")" && exec timeout -k 5 115 python3 case.py
