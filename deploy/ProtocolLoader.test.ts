/** Compares the protocol in the bundle with the one that @grpc/proto-loader reads from the protocol file. */
import { loadSync, type MethodDefinition } from '@grpc/proto-loader'
import { expect } from 'chai'
import { createRequire } from 'node:module'
import { RandomService } from '../src/common/RandomService.js'

/** Same options as in `loadProtocol`. */
const OPTIONS = Object.freeze({ longs: Number, enums: String, defaults: true, oneofs: true })
const MESSAGES_PER_METHOD = 300
const MAXIMUM_ITEMS = 3
const MAXIMUM_DEPTH = 4

interface IFieldDefinition { readonly type: string, readonly rule?: string, readonly keyType?: string }
interface IServiceMethod { readonly requestType: string, readonly responseType: string }
interface IPartDefinition {
  readonly fields?: Readonly<Record<string, IFieldDefinition>>
  readonly values?: Readonly<Record<string, number>>
  readonly methods?: Readonly<Record<string, IServiceMethod>>
}
interface IDefinition { readonly nested: { readonly savoryknot: { readonly nested: Readonly<Record<string, IPartDefinition>> } } }
type Method = MethodDefinition<object, object>
type Definitions = Readonly<Record<string, Readonly<Record<string, Method>>>>

const require = createRequire(import.meta.url)
type Loader = (file: string, options: object, definition: object) => Definitions
const { loadSync: loadBundled } = require('./ProtocolLoader.cjs') as { loadSync: Loader }
const { protocolDefinition } = require('./ProtocolDefinition.cjs') as { protocolDefinition: () => IDefinition }
const definition = protocolDefinition()
const { nested: types } = definition.nested.savoryknot
const random = new RandomService(1)

/** Definitions read from the file by @grpc/proto-loader, and from the JSON by the loader of the bundle. */
const expectedDefinitions = loadSync('proto/savoryknot.proto', OPTIONS) as unknown as Definitions
const bundledDefinitions = loadBundled('', OPTIONS, definition)
const SERVICES = Object.entries(types).filter(([, { methods }]) => methods !== undefined).map(([name]) => `savoryknot.${name}`)

/** A message with random fields set, also to default and unusual values. */
function randomMessage (name: string, depth = 0): object {
  const fields = Object.entries(types[name]?.fields ?? {}).filter(() => random.integer(3) > 0)
  return Object.fromEntries(fields.map(([field, { type, rule, keyType }]) => {
    const items = Array.from({ length: random.integer(MAXIMUM_ITEMS + 1) }, () => randomValue(type, depth))
    if (keyType !== undefined) return [field, Object.fromEntries(items.map((item, index) => [String(index), item]))]
    return [field, rule === 'repeated' ? items : randomValue(type, depth)]
  }).filter(([, value]) => value !== undefined))
}

function randomValue (type: string, depth: number): unknown {
  const values = types[type]?.values
  if (values !== undefined) return pick(Object.keys(values))
  if (types[type] !== undefined) return depth < MAXIMUM_DEPTH ? randomMessage(type, depth + 1) : {}
  if (type === 'string') return pick(['', 'a', 'längé…', '\u{1F600}', 'x'.repeat(200)])
  if (type === 'bytes') return Buffer.from(pick(['', 'abc', '\u0000ÿ']))
  if (type === 'bool') return random.integer(2) === 1
  if (type === 'double' || type === 'float') return pick([0, 0.25, -1.5, 1e12, Infinity])
  return pick([0, 1, 127, 128, 65_536, 2 ** 31 - 1, ...type.endsWith('64') ? [2 ** 40, Number.MAX_SAFE_INTEGER] : []])
}

function pick<TValue> (values: readonly TValue[]): TValue {
  return values[random.integer(values.length)] as TValue
}

describe('ProtocolLoader', () => {
  it('returns the services and methods of the protocol file', () => {
    const summarize = (definitions: Definitions): unknown[] => SERVICES.map((service) => {
      return Object.entries(definitions[service] ?? {}).map(([name, method]) => {
        return [name, method.path, method.requestStream, method.responseStream, method.originalName]
      })
    })
    expect(SERVICES).to.have.members(['savoryknot.Peer', 'savoryknot.Operator'])
    expect(Object.keys(bundledDefinitions)).to.have.members(SERVICES)
    expect(summarize(bundledDefinitions)).to.deep.equal(summarize(expectedDefinitions))
  })

  it('serializes and deserializes every message like @grpc/proto-loader', () => {
    let bytesCompared = 0
    for (const service of SERVICES) {
      for (const [name, { requestType, responseType }] of Object.entries(types[service.split('.')[1] ?? '']?.methods ?? {})) {
        const [expected, found] = [expectedDefinitions[service]?.[name], bundledDefinitions[service]?.[name]] as [Method, Method]
        for (let number = 0; number < MESSAGES_PER_METHOD; number++) {
          const [request, response] = [randomMessage(requestType), randomMessage(responseType)]
          const [requestBytes, responseBytes] = [expected.requestSerialize(request), expected.responseSerialize(response)]
          expect(Buffer.from(found.requestSerialize(request)).equals(requestBytes), JSON.stringify(request)).to.equal(true)
          expect(Buffer.from(found.responseSerialize(response)).equals(responseBytes), JSON.stringify(response)).to.equal(true)
          expect(found.requestDeserialize(requestBytes)).to.deep.equal(expected.requestDeserialize(requestBytes))
          expect(found.responseDeserialize(responseBytes)).to.deep.equal(expected.responseDeserialize(responseBytes))
          bytesCompared += requestBytes.length + responseBytes.length
        }
      }
    }
    expect(bytesCompared).to.be.above(100_000)
  })

  it('returns the same results and errors as @grpc/proto-loader for arbitrary bytes', () => {
    const [expected, found] = [expectedDefinitions['savoryknot.Peer']?.Exchange, bundledDefinitions['savoryknot.Peer']?.Exchange] as [Method, Method]
    const results = [expected, found].map(({ requestDeserialize }) => Array.from({ length: 500 }, (_, number) => {
      const bytes = Buffer.from([(number * 7) % 256, (number * 13) % 256, number % 5, number % 3])
      try {
        return requestDeserialize(bytes)
      } catch (error) {
        return String(error)
      }
    }))
    expect(results[1]).to.deep.equal(results[0])
  })
})
