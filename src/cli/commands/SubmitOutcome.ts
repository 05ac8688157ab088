/** Prints the outcome of a submission or deletion. */
import type { ReceivedSubmitReply } from '../../generated/savoryknot/SubmitReply.js'
import type { ReceivedChange } from '../../generated/savoryknot/Change.js'
import type { IDocumentFault } from '../../documents/Types.js'
import { EXIT_CODE, type ExitCode, type ICommandContext, type IOutput } from '../Types.js'

/** Prints the reply and returns its exit code. */
export function printSubmitReply (context: ICommandContext, reply: ReceivedSubmitReply): ExitCode {
  if (context.isJson) context.output.line(JSON.stringify(reply))
  switch (reply.kind) {
    case 'accepted':
      if (!context.isJson) context.output.line(describeAccepted(reply))
      return EXIT_CODE.done
    case 'conflict':
      context.output.error(describeConflict(reply.change ?? undefined))
      return EXIT_CODE.conflict
    case 'invalid':
      printFaults(context.output, reply.faults)
      return EXIT_CODE.invalid
    default:
      context.output.error(`refused: ${reply.message}`)
      return EXIT_CODE.invalid
  }
}

/** Prints every fault with its section and key. */
export function printFaults (output: IOutput, faults: readonly IDocumentFault[]): void {
  for (const fault of faults) output.error(formatFault(fault))
  output.error(`${faults.length} ${faults.length === 1 ? 'fault' : 'faults'}; nothing was submitted`)
}

/** A fault as one readable line. */
export function formatFault (fault: IDocumentFault): string {
  if (fault.section === '') return fault.message
  const place = fault.key === '' ? `[${fault.section}]` : `[${fault.section}] ${fault.key}`
  return `${place}: ${fault.message}`
}

/** When and by whom a change was accepted. */
export function describeChange (change: ReceivedChange): string {
  return `version ${change.version} of ${change.service}, by ${change.author} at ${new Date(change.acceptedAt).toISOString()}`
}

function describeAccepted (reply: ReceivedSubmitReply): string {
  if (reply.change === null) return 'accepted'
  const verb = reply.isRepeat ? 'already accepted as' : 'accepted as'
  return `${verb} ${describeChange(reply.change)}${reply.change.isTombstone ? ' (deleted)' : ''}`
}

function describeConflict (present: ReceivedChange | undefined): string {
  if (present === undefined) return 'conflict: the service does not exist; submit with --expect new'
  return `conflict: the current one is ${describeChange(present)}; read it with "savoryknotctl show ${present.service}"`
}
