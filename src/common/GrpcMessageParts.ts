/** Bounds the memory of gRPC messages that arrive in small parts. */
import { StreamDecoder } from '@grpc/grpc-js/build/src/stream-decoder.js'

/** The parts of `StreamDecoder` that are used here; they are private in grpc-js. */
interface IMessageDecoder {
  /** Received parts of the incomplete message, one for each HTTP/2 frame. */
  readPartialMessage: Buffer[]
  write: (data: Buffer) => Buffer[]
}

/** Number of parts of an incomplete message that are kept apart; each part takes about 100 bytes in addition to its bytes. */
const MAXIMUM_PARTS = 1_024

let isInstalled = false

/**
 * Joins the parts of an incomplete message whenever there are many. grpc-js limits the size of a message, but keeps a list of its parts,
 * whose sizes the peer chooses: a message of 1 MiB in frames of one byte would take 113 MB. Affects all clients and servers of the process;
 * further calls have no effect.
 */
export function joinGrpcMessageParts (): void {
  if (isInstalled) return
  isInstalled = true
  const decoder = StreamDecoder.prototype as unknown as IMessageDecoder
  const writeOriginal = decoder.write
  decoder.write = function (this: IMessageDecoder, data: Buffer): Buffer[] {
    const messages = writeOriginal.call(this, data)
    if (this.readPartialMessage.length > MAXIMUM_PARTS) this.readPartialMessage = [Buffer.concat(this.readPartialMessage)]
    return messages
  }
}
