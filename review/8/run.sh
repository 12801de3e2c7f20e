#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0: the same without an outage
# of the store and without the loss of a node.
cd "$(dirname "$0")" || exit 2
rm -f record.txt
exec timeout --preserve-status -k 5 118 python3 -B case.py
