/** Client of a table service with HTTP and JSON, such as the stand-in for the platform. */
import { z } from 'zod'
import { PlatformUnavailableError, OutcomeUnknownError } from './PlatformErrors.js'
import type { IPlatformRequest, PlatformHttpClient } from './PlatformHttpClient.js'
import type { ITableService } from './Services.js'
import type { ICondition, IRow, IRowReference, IRowScan, ITransaction, RowKey, RowRevision, TableName, TransactionOutcome } from './Types.js'

const revision = z.string().transform((text) => text as RowRevision)
const key = z.string().transform((text) => text as RowKey)
const ROW_SCHEMA: z.ZodType<IRow> = z.object({ key, revision, value: z.string() })
const READ_SCHEMA = z.object({ row: ROW_SCHEMA.optional() })
const SCAN_SCHEMA = z.object({ rows: z.array(ROW_SCHEMA) })
const CONDITION_SCHEMA: z.ZodType<ICondition> = z.object({
  table: z.string().transform((text) => text as TableName), key, expected: z.union([z.literal('absent'), z.literal('present'), revision])
})
const OUTCOME_SCHEMA: z.ZodType<TransactionOutcome> = z.union([
  z.object({ isCommitted: z.literal(true) }),
  z.object({ isCommitted: z.literal(false), failed: CONDITION_SCHEMA })
])

/** Sends one request with a JSON body for each method call. */
export class HttpTableService implements ITableService {
  constructor (private readonly _client: PlatformHttpClient) {}

  public async read (reference: IRowReference): Promise<IRow | undefined> {
    const { row } = await this._post('read', reference, READ_SCHEMA, false)
    return row
  }

  public async scan (scan: IRowScan): Promise<readonly IRow[]> {
    const { rows } = await this._post('scan', scan, SCAN_SCHEMA, false)
    return rows
  }

  public transact (transaction: ITransaction): Promise<TransactionOutcome> {
    return this._post('transact', transaction, OUTCOME_SCHEMA, true)
  }

  private async _post<TResponse> (operation: string, body: object, schema: z.ZodType<TResponse>, isWrite: boolean): Promise<TResponse> {
    const request: IPlatformRequest = {
      step: `platform.${operation}`,
      method: 'POST',
      path: `/table/${operation}`,
      headers: { 'content-type': 'application/json' },
      body: JSON.stringify(body),
      isWrite
    }
    const response = await this._client.request(request)
    try {
      return schema.parse(JSON.parse(response.body.toString()))
    } catch (cause) {
      const origin = { step: request.step, peer: 'table service', cause }
      const message = 'malformed response from the platform'
      throw isWrite ? new OutcomeUnknownError(message, origin) : new PlatformUnavailableError(message, origin)
    }
  }
}
