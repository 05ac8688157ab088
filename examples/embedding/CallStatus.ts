/**
 * Calls a service of the mesh from a program's own process.
 *
 * A program outside this repository imports from `savoryknot` in place of the relative path.
 */
import { createMeshClient, type IMeshClientOptions } from '../../src/Embedding.js'

/** Joins the mesh, requests the status of an application, leaves the mesh, and returns the response or the outcome as text. */
export async function callStatus (options: IMeshClientOptions, application: string): Promise<string> {
  const client = createMeshClient(options)
  await client.start()
  try {
    const response = await client.call({
      service: 'status',
      path: `/status/${encodeURIComponent(application)}`,
      headers: { accept: 'application/json' },
      deadlineMs: 500
    })
    // Only `not-run` guarantees that the request had no effect; with `unknown` it may have had one.
    if (response.outcome.kind !== 'answered') return `${response.outcome.kind}: ${response.outcome.reason}`
    return `${response.status}: ${response.body.toString()}`
  } finally {
    await client.stop()
  }
}
