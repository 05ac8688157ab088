/** Version of this software, from package.json. */
import { readFileSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

const PACKAGE_FILE = 'package.json'

/** For example `0.1.0`; sent to other nodes and shown by `savoryknotctl nodes`. */
export const SOFTWARE_VERSION = readVersion(dirname(fileURLToPath(import.meta.url)))

/** Searches the parent folders, because this module runs from src/ or from dist/src/. */
function readVersion (folder: string): string {
  try {
    return (JSON.parse(readFileSync(join(folder, PACKAGE_FILE), 'utf8')) as { version: string }).version
  } catch {
    return dirname(folder) === folder ? 'unknown' : readVersion(dirname(folder))
  }
}
