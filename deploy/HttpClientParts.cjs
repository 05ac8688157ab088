/** The parts of undici that the daemon uses. Its index also loads fetch, cookies and caches, which takes a tenth of the start. */
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js')

// As in the index of undici: the calls that are built on `dispatch`.
Object.assign(Dispatcher.prototype, require('../node_modules/undici/lib/api/index.js'))

module.exports = {
  Agent: require('../node_modules/undici/lib/dispatcher/agent.js'),
  Client: require('../node_modules/undici/lib/dispatcher/client.js'),
  Pool: require('../node_modules/undici/lib/dispatcher/pool.js'),
  buildConnector: require('../node_modules/undici/lib/core/connect.js')
}
