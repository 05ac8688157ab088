/**
 * Calls a service of the mesh from a program's own process.
 *
 * A program outside this repository imports from `savoryknot` in place of the relative path.
 */
import { createMeshClient, type IMeshClientOptions } from '../../src/Embedding.js'

/** Joins the mesh, asks for the status of an application, leaves, and tells what it was answered. */
export async function callStatus (options: IMeshClientOptions, application: string): Promise<string> {
  const client = createMeshClient(options)
  await client.start()
  try {
    const answer = await client.call({
      service: 'status',
      path: `/status/${encodeURIComponent(application)}`,
      headers: { accept: 'application/json' },
      deadlineMs: 500
    })
    // Only `not-run` tells that the request had no effect; `unknown` may have had one.
    if (answer.outcome.kind !== 'answered') return `${answer.outcome.kind}: ${answer.outcome.reason}`
    return `${answer.status}: ${answer.body.toString()}`
  } finally {
    await client.stop()
  }
}
