/** Entry point of `savoryknotctl`. */
import { ClockService } from '../common/ClockService.js'
import { DocumentParser } from '../documents/DocumentParser.js'
import { CommandLine } from './CommandLine.js'
import { createCommands } from './Commands.js'
import { createCredentials } from './Credentials.js'
import { OperatorClient } from './OperatorClient.js'
import { Output } from './Output.js'

const commandLine = new CommandLine({
  commands: createCommands({ parser: new DocumentParser(), clock: new ClockService() }),
  output: new Output(),
  connect: (options) => new OperatorClient({ node: options.node, credentials: createCredentials(options) }),
  environment: process.env
})

process.exitCode = await commandLine.run(process.argv.slice(2))
