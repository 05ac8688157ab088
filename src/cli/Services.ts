/** Interface of the connection to a node. */
import type { ReceivedBurnReply } from '../generated/savoryknot/BurnReply.js'
import type { ReceivedEndpointsReply } from '../generated/savoryknot/EndpointsReply.js'
import type { ReceivedHistoryReply } from '../generated/savoryknot/HistoryReply.js'
import type { ReceivedNodesReply } from '../generated/savoryknot/NodesReply.js'
import type { ReceivedShowReply } from '../generated/savoryknot/ShowReply.js'
import type { ReceivedStatusReply } from '../generated/savoryknot/StatusReply.js'
import type { ReceivedSubmitReply } from '../generated/savoryknot/SubmitReply.js'
import type { SubmitRequest } from '../generated/savoryknot/SubmitRequest.js'

/** Calls to the operator port. Each one rejects with `UnreachableError` or `RefusedError`. */
export interface IOperatorClient {
  submit (request: SubmitRequest): Promise<ReceivedSubmitReply>
  /** `version` 0 selects the newest version. */
  show (service: string, version: number): Promise<ReceivedShowReply>
  history (service: string, limit: number): Promise<ReceivedHistoryReply>
  /** An empty `service` selects all services. */
  status (service: string): Promise<ReceivedStatusReply>
  endpoints (service: string): Promise<ReceivedEndpointsReply>
  nodes (): Promise<ReceivedNodesReply>
  burn (service: string): Promise<ReceivedBurnReply>
  close (): void
}
