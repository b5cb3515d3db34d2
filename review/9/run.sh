#!/bin/sh
exec sh "$(dirname "$0")/../stand-2/run.sh" 9 review2.Renumber
