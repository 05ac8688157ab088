/** Measures the heap of this process. */
import { setFlagsFromString } from 'node:v8'
import { runInNewContext } from 'node:vm'

/** Used bytes of the heap after a garbage collection. */
export function measureUsedHeap (): number {
  setFlagsFromString('--expose_gc')
  ;(runInNewContext('gc') as () => void)()
  return process.memoryUsage().heapUsed
}
