/** Writes docs/DOCUMENTS.md. */
import { writeReferenceSections } from '../common/ReferencePage.js'
import { KNOWN_FORMAT, MAXIMUM_DOCUMENT_BYTES } from './DocumentSchema.js'
import { DOCUMENT_REFERENCE } from './DocumentReference.js'

const BYTES_PER_KIBIBYTE = 1_024

/** The page as Markdown. A test compares the file with it; `npm run docs` writes the file. */
export function writeDocumentsPage (): string {
  return `${INTRODUCTION}\n${writeReferenceSections(DOCUMENT_REFERENCE)}`
}

const INTRODUCTION = `# Documents

<!-- Generated from src/documents/DocumentSchema.ts by \`npm run docs\`. -->

One INI file describes one service: its owner, its objective, its resources, its routes and how its endpoints stop.
\`examples/\` contains the documents of two deployments. \`savoryknotctl check FILE\` lists every fault of a file without
any service running; \`savoryknotctl submit FILE --expect VERSION\` makes it the next version.

- A file has at most ${MAXIMUM_DOCUMENT_BYTES / BYTES_PER_KIBIBYTE} KiB of UTF-8. Lines that start with \`;\` or \`#\` are comments, and so is the rest of a line after either.
- Names are lower-case letters, digits and inner hyphens, up to 63 of them. Values have no quotes.
- A duplicate or unknown section or key, a missing unit and a missing value are faults.
- A resource has one name in its document, whatever its kind. A reference is \`SERVICE/RESOURCE\`, also for own resources.
- A reference to another service needs an exported resource there. A referenced resource cannot be removed, and its service cannot be deleted.
- This program reads formats up to ${KNOWN_FORMAT}. A document of a newer format is refused completely; nodes keep their current version.

Versions count from 1 without gaps. A submission names the version that it was written against, or \`new\`; if another
version was accepted first, the submission is refused as a conflict. A deletion is a version too: to reuse the name, submit against that version.
`
