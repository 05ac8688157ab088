/** The modules of undici that the daemon uses. The index of undici also loads fetch, cookies and caches, a tenth of the start time. */
const Dispatcher = require('../node_modules/undici/lib/dispatcher/dispatcher.js')

// Same as in the index of undici: adds the methods that use `dispatch`.
Object.assign(Dispatcher.prototype, require('../node_modules/undici/lib/api/index.js'))

module.exports = {
  Agent: require('../node_modules/undici/lib/dispatcher/agent.js'),
  Client: require('../node_modules/undici/lib/dispatcher/client.js'),
  Pool: require('../node_modules/undici/lib/dispatcher/pool.js'),
  buildConnector: require('../node_modules/undici/lib/core/connect.js')
}
