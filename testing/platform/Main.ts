/** Runs the platform stand-in as a separate process: `node dist/testing/platform/Main.js [--port N] [--host IP] [--seed N]`. */
import { cac } from 'cac'
import { RandomService } from '../../src/common/RandomService.js'
import { PlatformStandIn } from './PlatformStandIn.js'

const DEFAULT_PORT = 7_500

/** Starts the stand-in and stops it on SIGTERM or SIGINT. */
async function main (): Promise<void> {
  const command = cac('platform-stand-in')
  command.option('--port <number>', 'Port to listen on; 0 selects a free port', { default: DEFAULT_PORT })
  command.option('--host <address>', 'IP address to listen on', { default: '127.0.0.1' })
  command.option('--seed <number>', 'Seed of the random faults', { default: 1 })
  command.help()
  const { options } = command.parse()
  if (options.help === true) return
  const random = new RandomService(Number(options.seed))
  const standIn = new PlatformStandIn({ host: String(options.host), port: Number(options.port), random })
  await standIn.start()
  process.stdout.write(`platform stand-in listens on ${standIn.url}\n`)
  const stop = (): void => { standIn.stop().catch(() => { process.exitCode = 1 }) }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

await main()
