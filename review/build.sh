#!/bin/sh
# The stand-ins are a Python module of the standard library alone (review/standins.py): nothing is to be built. This
# checks that it can be read.
exec python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$(dirname "$0")/standins.py"
