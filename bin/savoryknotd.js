#!/usr/bin/env node
import '../dist/src/daemon/Main.js'
