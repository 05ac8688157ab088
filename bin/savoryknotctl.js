#!/usr/bin/env node
import '../dist/src/cli/Main.js'
