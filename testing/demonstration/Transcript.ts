/** Keeps the commands of a session with `savoryknotctl`. */
import type { IToolResult } from './ControlTool.js'
import { REPOSITORY } from './Repository.js'

const INDENT = '    '

/** Writes the page docs/TRANSCRIPT.md. */
export class Transcript {
  private readonly _entries: string[] = []

  /** Adds one run. Folders of this machine are left out. */
  public add (words: readonly string[], result: IToolResult): void {
    const command = `savoryknotctl ${words.join(' ')}`
    const lines = [`$ ${command}`, ...result.output.split('\n'), `(exit code ${result.exitCode})`]
    this._entries.push(lines.map((line) => INDENT + line).join('\n').replaceAll(`${REPOSITORY}/`, '').replace(/\/\S*\/savoryknot-/g, 'savoryknot-'))
  }

  /** The page as Markdown. */
  public format (): string {
    return [
      '# A session with savoryknotctl',
      '',
      'Printed by `npm start -- --once --transcript docs/TRANSCRIPT.md`, which runs every command against six nodes. ' +
        'Each command also had `--node` with the operator port of a node.',
      '',
      this._entries.join('\n\n'),
      ''
    ].join('\n')
  }
}
