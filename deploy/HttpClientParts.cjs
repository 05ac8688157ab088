/** The parts of undici that the daemon uses. Its index also loads fetch, cookies and caches, which takes a tenth of the start. */
module.exports = {
  Agent: require('../node_modules/undici/lib/dispatcher/agent.js'),
  Client: require('../node_modules/undici/lib/dispatcher/client.js'),
  Pool: require('../node_modules/undici/lib/dispatcher/pool.js'),
  buildConnector: require('../node_modules/undici/lib/core/connect.js')
}
