/** Help of the commands, for the terminal and for docs/SAVORYKNOTCTL.md. */
import type { ICommand } from './Types.js'

const INDENT = '  '

/** Exit codes in words. */
export const EXIT_CODE_TEXTS: readonly string[] = Object.freeze([
  '0  done',
  '2  invalid input or document, or refused by the node',
  '3  version conflict',
  '4  node or store unreachable; retrying the same command is safe',
  '5  accepted, but not in force everywhere within --wait'
])

/** First word of a command's usage. */
export function nameOf (command: ICommand): string {
  return command.usage.split(' ')[0] ?? ''
}

/** The manual of one command, one line each. */
export function describeCommand (command: ICommand): string[] {
  const options = command.options.map(({ flag, description }) => `${INDENT}${flag}\n${INDENT}${INDENT}${description}`)
  return [
    'NAME', `${INDENT}savoryknotctl ${nameOf(command)} - ${command.summary}`, '',
    'SYNOPSIS', `${INDENT}savoryknotctl ${command.usage} [options]`, '',
    ...(options.length === 0 ? [] : ['OPTIONS', ...options, '']),
    'EXAMPLE', `${INDENT}${command.example}`, '',
    'EXIT CODES', ...EXIT_CODE_TEXTS.map((text) => INDENT + text)
  ]
}

/** The page docs/SAVORYKNOTCTL.md. */
export function writeManualPage (commands: readonly ICommand[]): string {
  const parts = commands.map((command) => `## ${nameOf(command)}\n\n\`\`\`\n${describeCommand(command).join('\n')}\n\`\`\`\n`)
  return `# savoryknotctl

<!-- Generated from src/cli/commands by \`npm run docs\`. -->

Every command takes \`--node HOST:PORT\` (the operator port of any node; default the variable SAVORYKNOT_NODE),
\`--json\`, and \`--certificate\`, \`--key\`, \`--authority\` (default the variables SAVORYKNOT_CERTIFICATE, SAVORYKNOT_KEY
and SAVORYKNOT_AUTHORITY). \`savoryknotctl help COMMAND\` prints one of these sections.
\`savoryknotctl completion\` prints a script for bash: \`source <(savoryknotctl completion)\`.

${parts.join('\n')}`
}
