/** Contract tests for platform adapters. A deployment runs them against its own adapter. */
import { expect } from 'chai'
import type { IObjectStore, ITableService } from '../../src/platform/Services.js'
import type { ICondition, IRowReference, ObjectKey, RowKey, RowRevision, TableName } from '../../src/platform/Types.js'

/** Platform adapters under test, with an empty platform. */
export interface IPlatformUnderTest {
  readonly table: ITableService
  readonly objects: IObjectStore
  stop (): Promise<void>
}

const TABLE = 'contract' as TableName

function row (key: string): IRowReference {
  return { table: TABLE, key: key as RowKey }
}

/** Declares the tests; `connect` returns an empty platform for each test. */
export function describePlatformContract (name: string, connect: () => Promise<IPlatformUnderTest>): void {
  describe(`${name} as a platform`, () => {
    let platform: IPlatformUnderTest

    beforeEach(async () => { platform = await connect() })
    afterEach(async () => await platform.stop())

    async function write (key: string, value: string | undefined, ...conditions: ICondition[]): Promise<boolean> {
      const outcome = await platform.table.transact({ conditions, writes: [{ ...row(key), value }] })
      return outcome.isCommitted
    }

    async function revisionOf (key: string): Promise<RowRevision> {
      const found = await platform.table.read(row(key))
      if (found === undefined) throw new Error(`no row ${key}`)
      return found.revision
    }

    it('reads a written row, and undefined for a missing or deleted row', async () => {
      expect(await platform.table.read(row('a'))).to.equal(undefined)
      await write('a', '{"text":"Өвөл ✓ \\n"}')
      expect(await platform.table.read(row('a'))).to.deep.include({ key: 'a', value: '{"text":"Өвөл ✓ \\n"}' })
      await write('a', undefined)
      expect(await platform.table.read(row('a'))).to.equal(undefined)
    })

    it('commits a transaction only if all conditions are met, and reports the failed condition', async () => {
      const absent: ICondition = { ...row('a'), expected: 'absent' }
      const present: ICondition = { ...row('a'), expected: 'present' }
      expect(await write('a', '1', present)).to.equal(false)
      expect(await write('a', '1', absent)).to.equal(true)
      expect(await write('a', '2', absent)).to.equal(false)
      const outcome = await platform.table.transact({ conditions: [present, absent], writes: [{ ...row('b'), value: '1' }] })
      expect(outcome).to.deep.equal({ isCommitted: false, failed: absent })
      expect(await platform.table.read(row('b'))).to.equal(undefined)
      expect(await write('b', '1', present)).to.equal(true)
    })

    it('assigns a new revision to a row with every write, including one after a deletion', async () => {
      await write('a', '1')
      const first = await revisionOf('a')
      await write('a', '1')
      expect(await write('a', '2', { ...row('a'), expected: first })).to.equal(false)
      expect(await write('a', '2', { ...row('a'), expected: await revisionOf('a') })).to.equal(true)
      await write('a', undefined)
      await write('a', '1')
      expect(await write('a', '3', { ...row('a'), expected: first })).to.equal(false)
    })

    it('commits exactly one of many concurrent transactions that require the row to be absent', async () => {
      const tasks = Array.from({ length: 20 }, (_, position) => write('a', String(position), { ...row('a'), expected: 'absent' }))
      const wins = (await Promise.all(tasks)).filter(Boolean)
      expect(wins).to.have.length(1)
    })

    it('scans rows in key order within the given bounds, up to the limit', async () => {
      for (const key of ['b/2', 'a', 'b/10', 'b0', 'c', 'b/1']) await write(key, key)
      const scan = async (fromKey: string, beforeKey: string | undefined, limit: number): Promise<string[]> => {
        const keys = { fromKey: fromKey as RowKey, beforeKey: beforeKey as RowKey | undefined }
        const rows = await platform.table.scan({ table: TABLE, ...keys, limit })
        return rows.map((found) => found.key)
      }
      expect(await scan('', undefined, 100)).to.deep.equal(['a', 'b/1', 'b/10', 'b/2', 'b0', 'c'])
      expect(await scan('b/', 'b0', 100)).to.deep.equal(['b/1', 'b/10', 'b/2'])
      expect(await scan('b/10', undefined, 2)).to.deep.equal(['b/10', 'b/2'])
      expect(await platform.table.scan({ table: 'other' as TableName, fromKey: '' as RowKey, limit: 5 })).to.deep.equal([])
    })

    it('writes an object only if its expected revision matches, and stores its bytes unmodified', async () => {
      const { objects } = platform
      const key = 'text/a b' as ObjectKey
      const content = Uint8Array.from([0, 255, 10, 13])
      expect(await objects.get(key)).to.equal(undefined)
      const first = await objects.put(key, content, 'absent')
      expect(await objects.put(key, content, 'absent')).to.deep.equal({ isWritten: false })
      const stored = await objects.get(key)
      expect(Buffer.from(stored?.content ?? []).equals(content)).to.equal(true)
      if (!first.isWritten) throw new Error('the first write must succeed')
      expect(stored?.revision).to.equal(first.revision)
      expect((await objects.put(key, content, first.revision)).isWritten).to.equal(true)
      expect((await objects.put(key, content, first.revision)).isWritten).to.equal(false)
      expect((await objects.put(key, new Uint8Array(), 'any')).isWritten).to.equal(true)
      await objects.delete(key)
      await objects.delete(key)
      expect(await objects.get(key)).to.equal(undefined)
      expect((await objects.put(key, content, first.revision)).isWritten).to.equal(false)
    })
  })
}
