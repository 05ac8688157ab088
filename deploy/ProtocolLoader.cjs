/**
 * Replaces the part of @grpc/proto-loader that the daemon uses. The definitions were parsed when the bundle was built, whereas
 * @grpc/proto-loader parses the file at each start, and creates a second description of each message for gRPC reflection, which the
 * daemon does not offer.
 */
/* global SAVORYKNOT_PROTOCOL */
const { Root, Service } = require('../node_modules/protobufjs/light.js')

/** Definitions of the services. The build replaces `SAVORYKNOT_PROTOCOL` with the parsed protocol. */
function loadSync (_file, options, definition = SAVORYKNOT_PROTOCOL) {
  const services = {}
  for (const space of Root.fromJSON(definition).nestedArray) {
    for (const part of space.nestedArray) {
      if (part instanceof Service) services[`${space.name}.${part.name}`] = describeService(part, `${space.name}.${part.name}`, options)
    }
  }
  return services
}

function describeService (service, name, options) {
  return Object.fromEntries(service.methodsArray.map((method) => [method.name, describeMethod(method, name, options)]))
}

function describeMethod (method, serviceName, options) {
  const { resolvedRequestType: request, resolvedResponseType: response } = method.resolve()
  return {
    path: `/${serviceName}/${method.name}`,
    requestStream: method.requestStream === true,
    responseStream: method.responseStream === true,
    requestSerialize: serializer(request),
    requestDeserialize: deserializer(request, options),
    responseSerialize: serializer(response),
    responseDeserialize: deserializer(response, options),
    originalName: method.name.charAt(0).toLowerCase() + method.name.slice(1)
  }
}

function serializer (type) {
  return (message) => type.encode(type.fromObject(message)).finish()
}

function deserializer (type, options) {
  return (bytes) => type.toObject(type.decode(bytes), options)
}

module.exports = { loadSync }
