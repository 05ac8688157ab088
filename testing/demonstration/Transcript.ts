/** Keeps the commands of a session with `savoryknotctl`. */
import type { IToolRun } from './ControlTool.js'
import { REPOSITORY } from './Repository.js'

const INDENT = '    '

/** Writes the page docs/TRANSCRIPT.md. */
export class Transcript {
  private readonly _entries: string[] = []

  /** `command` is what printed the page. */
  constructor (private readonly _command: string) {}

  /** Adds one run. Folders of this machine are left out. */
  public add (run: IToolRun): void {
    const keys = run.certificate === undefined ? '' : `SAVORYKNOT_CERTIFICATE=keys/${run.certificate} `
    const lines = [`$ ${keys}savoryknotctl ${run.args.join(' ')}`, ...run.output.split('\n'), `(exit code ${run.exitCode})`]
    this._entries.push(lines.map((line) => INDENT + line).join('\n').replaceAll(`${REPOSITORY}/`, '').replace(/\/\S*\/savoryknot-/g, 'savoryknot-'))
  }

  /** The page as Markdown. */
  public format (): string {
    return [
      '# A session with savoryknotctl',
      '',
      `Printed by \`${this._command}\`, which runs every command against six nodes. ` +
        'Each command also had `--node` with the operator port of a node.',
      '',
      this._entries.join('\n\n'),
      ''
    ].join('\n')
  }
}
