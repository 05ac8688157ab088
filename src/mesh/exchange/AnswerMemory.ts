/** Bounds the memory that unfinished answers take together. */

/** An answer that is being collected. */
export interface IPartialAnswer {
  /** Bytes held of it. */
  readonly bytes: number
  /** Drops it and ends its exchange. */
  abort (reason: string): void
}

/** Limits of the memory. */
export interface IAnswerMemoryOptions {
  /** Bytes of all unfinished answers together. */
  readonly limit: number
}

/** Defaults of `AnswerMemory`. Two of the largest answers fit at once; the smallest VMs have some 100 MB beside the process. */
export const DEFAULT_ANSWER_MEMORY_OPTIONS: IAnswerMemoryOptions = Object.freeze({ limit: 33_554_432 })

/**
 * Answers a load in which several answers go on without end: the largest one gives way, so that whole answers of the usual
 * size are never lost for want of memory.
 */
export class AnswerMemory {
  private readonly _options: IAnswerMemoryOptions
  private readonly _answers = new Set<IPartialAnswer>()

  constructor (options: Partial<IAnswerMemoryOptions> = {}) {
    this._options = { ...DEFAULT_ANSWER_MEMORY_OPTIONS, ...options }
  }

  /** An answer has grown. Ends the largest one while all together are above the limit. */
  public noteGrowth (answer: IPartialAnswer): void {
    this._answers.add(answer)
    while (this._held > this._options.limit) this._dropLargest()
  }

  /** An answer is finished or dropped. */
  public release (answer: IPartialAnswer): void {
    this._answers.delete(answer)
  }

  private get _held (): number {
    let held = 0
    for (const { bytes } of this._answers) held += bytes
    return held
  }

  private _dropLargest (): void {
    let largest: IPartialAnswer | undefined
    for (const answer of this._answers) {
      if (largest === undefined || answer.bytes > largest.bytes) largest = answer
    }
    if (largest === undefined) return
    this._answers.delete(largest)
    largest.abort('answer too large beside others')
  }
}
