/** `savoryknotctl check`: checks a document without a connection to a node. */
import type { IDocumentParser } from '../../documents/Services.js'
import { EXIT_CODE, type ExitCode, type ICommand, type ICommandContext } from '../Types.js'
import { readDocumentFile } from './DocumentFile.js'
import { printFaults } from './SubmitOutcome.js'

/** Parses and checks one file. */
export class CheckCommand implements ICommand {
  public readonly usage = 'check <file>'
  public readonly summary = 'Check a document by itself, without any node'
  public readonly options = []
  public readonly example = 'savoryknotctl check examples/tsagaan/status.ini'

  constructor (private readonly _parser: IDocumentParser) {}

  public async run (context: ICommandContext, values: readonly string[]): Promise<ExitCode> {
    const [file] = values
    const text = await readDocumentFile(file)
    const result = this._parser.parse(text)
    if (context.isJson) context.output.line(JSON.stringify(result.isValid ? { isValid: true } : result))
    if (result.isValid) {
      if (!context.isJson) context.output.line(`${file}: a valid document of ${result.document.service}`)
      return EXIT_CODE.done
    }
    printFaults(context.output, result.faults)
    return EXIT_CODE.invalid
  }
}
