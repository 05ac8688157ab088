/** Parses proto/savoryknot.proto when the bundle is built, so that the daemon does not parse it at each start. */
const { Root } = require('../node_modules/protobufjs')

const PROTO_FILE = 'proto/savoryknot.proto'

/** Messages and services as JSON, in the form that deploy/ProtocolLoader.cjs reads. */
function protocolDefinition () {
  return new Root().loadSync(PROTO_FILE).resolveAll().toJSON()
}

module.exports = { protocolDefinition }
