/** Folder of the repository, found from this module, which runs from testing/ or from dist/testing/. */
import { existsSync } from 'node:fs'
import { dirname, join } from 'node:path'
import { fileURLToPath } from 'node:url'

/** The folder that holds package.json. */
export const REPOSITORY = findRepository(dirname(fileURLToPath(import.meta.url)))

function findRepository (folder: string): string {
  if (existsSync(join(folder, 'package.json'))) return folder
  return findRepository(dirname(folder))
}
