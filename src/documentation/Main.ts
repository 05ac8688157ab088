/** Writes the pages that are generated from the code: `npm run docs`. */
import { writeFile } from 'node:fs/promises'
import { PAGES } from './Pages.js'

for (const page of PAGES) {
  await writeFile(page.file, page.write())
  process.stdout.write(`${page.file}\n`)
}
