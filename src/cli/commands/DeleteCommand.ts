/** `savoryknotctl delete`: deletes a service's document. */
import type { ExitCode, ICommand, ICommandContext } from '../Types.js'
import { requireExpectation, requireService } from './Arguments.js'
import { printSubmitReply } from './SubmitOutcome.js'
import { authorName, submissionIdOf } from './Submission.js'

/** A deletion is accepted as a new version; it is refused while other documents refer to the service. */
export class DeleteCommand implements ICommand {
  public readonly usage = 'delete <service>'
  public readonly summary = 'Delete a service; refused while other documents refer to it'
  public readonly options = [
    { flag: '--expect <version>', description: 'Version that is to be deleted' },
    { flag: '--author <name>', description: 'Name stored with the version (default: the name of the account)' }
  ]

  public readonly example = 'savoryknotctl delete status --expect 3'

  public async run (context: ICommandContext, values: readonly string[], options: Readonly<Record<string, unknown>>): Promise<ExitCode> {
    const service = requireService(values[0])
    const expectedVersion = requireExpectation(options.expect, false)
    const submissionId = submissionIdOf(service, expectedVersion, 'deletion')
    const author = authorName(options.author)
    const reply = await context.client().submit({ submissionId, service, expectedVersion, isDeletion: true, author })
    return printSubmitReply(context, reply)
  }
}
