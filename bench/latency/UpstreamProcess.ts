/** Process that runs an upstream stand-in. */
import { UpstreamStandIn, type IUpstreamStandInOptions } from '../../testing/upstream/UpstreamStandIn.js'
import { serveBenchProcess } from './BenchProcess.js'

const upstream = new UpstreamStandIn(JSON.parse(process.argv[2] ?? '{}') as Partial<IUpstreamStandInOptions>)
await upstream.start()
serveBenchProcess({ upstream: upstream.address })
