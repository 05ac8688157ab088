/** Command that runs a stand-in upstream: `node Main.js --port 9001 --service status --slots 9 --service-time 5`. */
import { cac } from 'cac'
import { DEFAULT_UPSTREAM_STAND_IN_OPTIONS, UpstreamStandIn } from './UpstreamStandIn.js'

/** Parses the command line, starts the upstream and prints its address on one line. */
async function main (): Promise<void> {
  const defaults = DEFAULT_UPSTREAM_STAND_IN_OPTIONS
  const command = cac('upstream')
  command.option('--port <number>', 'Port to listen on; 0 selects a free port', { default: defaults.port })
  command.option('--service <name>', 'Name of the service', { default: defaults.service })
  command.option('--slots <number>', 'Maximum number of concurrent requests', { default: defaults.slots })
  command.option('--service-time <milliseconds>', 'Service time of a request', { default: defaults.serviceTimeMs })
  command.option('--connection-cost <milliseconds>', 'Time to accept a new connection', { default: 1 })
  command.option('--probe-cost <milliseconds>', 'Time for which a probe occupies a slot', { default: defaults.probeCostMs })
  command.option('--cold-start <milliseconds>', 'Time after the start during which requests take three times as long', { default: defaults.coldStartMs })
  command.help()
  const { options } = command.parse()
  if (options.help === true) return
  const upstream = new UpstreamStandIn({
    port: Number(options.port),
    service: String(options.service),
    slots: Number(options.slots),
    serviceTimeMs: Number(options.serviceTime),
    connectionCostMs: Number(options.connectionCost),
    probeCostMs: Number(options.probeCost),
    coldStartMs: Number(options.coldStart)
  })
  await upstream.start()
  process.stdout.write(`listening ${upstream.address}\n`)
  const stop = (): void => {
    upstream.kill()
    process.exit(0)
  }
  process.once('SIGTERM', stop)
  process.once('SIGINT', stop)
}

await main()
