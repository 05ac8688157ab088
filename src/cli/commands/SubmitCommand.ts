/** `savoryknotctl submit`: submits a document. */
import { hashContent } from '../../common/Ids.js'
import type { IDocumentParser } from '../../documents/Services.js'
import { type ExitCode, EXIT_CODE, type ICommand, type ICommandContext } from '../Types.js'
import { requireExpectation } from './Arguments.js'
import { readDocumentFile } from './DocumentFile.js'
import { printFaults, printSubmitReply } from './SubmitOutcome.js'
import { authorName, submissionIdOf } from './Submission.js'

/** Checks the document locally, then submits it to the node. */
export class SubmitCommand implements ICommand {
  public readonly usage = 'submit <file>'
  public readonly summary = 'Submit a document; a retry after a lost response returns the same version'
  public readonly options = [
    { flag: '--expect <version>', description: 'Version that the document was written against, or new' },
    { flag: '--author <name>', description: 'Name stored with the version (default: the name of the account)' }
  ]

  public readonly example = 'savoryknotctl submit examples/tsagaan/status.ini --expect new'

  constructor (private readonly _parser: IDocumentParser) {}

  public async run (context: ICommandContext, values: readonly string[], options: Readonly<Record<string, unknown>>): Promise<ExitCode> {
    const expectedVersion = requireExpectation(options.expect, true)
    const text = await readDocumentFile(values[0])
    const result = this._parser.parse(text)
    if (!result.isValid) {
      printFaults(context.output, result.faults)
      return EXIT_CODE.invalid
    }
    const { service } = result.document
    const submissionId = submissionIdOf(service, expectedVersion, hashContent(text))
    const reply = await context.client().submit({ submissionId, service, expectedVersion, text, author: authorName(options.author) })
    return printSubmitReply(context, reply)
  }
}
