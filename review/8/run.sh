#!/bin/sh
exec sh "$(dirname "$0")/../stand-2/run.sh" 8 review2.LeftClients
