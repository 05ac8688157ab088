/** Reads a document from a file. */
import { readFile, stat } from 'node:fs/promises'
import { UsageError } from '../CommandErrors.js'

/** Files above this size are not read; the limit of a document is lower and is checked by the parser. */
const MAX_FILE_BYTES = 1024 * 1024

/** The file's text. Throws `UsageError` if it cannot be read. */
export async function readDocumentFile (file: string | undefined): Promise<string> {
  if (file === undefined) throw new UsageError('a file is needed', { step: 'ctl.arguments' })
  try {
    const { size } = await stat(file)
    if (size > MAX_FILE_BYTES) throw new Error(`is larger than ${MAX_FILE_BYTES} bytes`)
    return await readFile(file, 'utf8')
  } catch (error) {
    throw new UsageError(`${file}: ${(error as Error).message}`, { step: 'ctl.read', cause: error })
  }
}
