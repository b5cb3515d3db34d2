#!/bin/sh
exec sh "$(dirname "$0")/../stand-2/run.sh" 7 review2.Crowd
