/** `savoryknotctl keys`: generates keys and certificates for trials. */
import { mkdir, readFile, writeFile } from 'node:fs/promises'
import { join } from 'node:path'
import type { CertificateIdentity } from '../../common/CertificateIdentity.js'
import { isName } from '../../common/Ids.js'
import type { IClockService } from '../../common/Services.js'
import type { TeamName } from '../../common/Types.js'
import { UsageError } from '../CommandErrors.js'
import type { ICertificateWithKey } from '../keys/CertificateFactory.js'
import { EXIT_CODE, type ExitCode, type ICommand, type ICommandContext } from '../Types.js'
import { requireNumber } from './Arguments.js'

const DEFAULT_DIRECTORY = 'keys'
const DEFAULT_DAYS = 30
const AUTHORITY = 'authority'
/** Only the owner of a key file may read it. */
const KEY_FILE_MODE = 0o600

/** Writes PEM files; an existing file is never overwritten. */
export class KeysCommand implements ICommand {
  public readonly usage = 'keys <kind> [name]'
  public readonly summary = 'Generate keys and certificates for a trial: authority, node NAME, or operator TEAM'
  public readonly options = [
    { flag: '--directory <folder>', description: `Folder of the key files (default: ${DEFAULT_DIRECTORY})` },
    { flag: '--days <number>', description: `Days until the certificate expires (default: ${DEFAULT_DAYS})` }
  ]

  public readonly example = 'savoryknotctl keys operator permits --directory keys'

  constructor (private readonly _clock: IClockService) {}

  public async run (context: ICommandContext, values: readonly string[], options: Readonly<Record<string, unknown>>): Promise<ExitCode> {
    const [kind, name] = values
    const directory = options.directory === undefined ? DEFAULT_DIRECTORY : String(options.directory)
    const days = options.days === undefined ? DEFAULT_DAYS : requireNumber(options.days, '--days', 1)
    const fileName = kind === AUTHORITY ? AUTHORITY : requireFileName(name)
    const pair = await this._make(kind, fileName, directory, days)
    const files = await writePair(directory, fileName, pair)
    context.output.line(context.isJson ? JSON.stringify(files) : `wrote ${files.join(' and ')}`)
    return EXIT_CODE.done
  }

  private async _make (kind: string | undefined, name: string, directory: string, days: number): Promise<ICertificateWithKey> {
    // Loaded on demand, since only this command needs the certificate library.
    const { createAuthority, createCertificate } = await import('../keys/CertificateFactory.js')
    const now = this._clock.now()
    if (kind === AUTHORITY) return createAuthority(now, days)
    const authority = await readPair(directory, AUTHORITY)
    return createCertificate(authority, toIdentity(kind, name), now, days)
  }
}

function toIdentity (kind: string | undefined, name: string): CertificateIdentity {
  if (kind === 'node') return { kind }
  if (kind === 'operator') return { kind, team: name as TeamName }
  throw new UsageError(`expected authority, node or operator, found ${JSON.stringify(kind ?? '')}`, { step: 'ctl.keys' })
}

function requireFileName (name: string | undefined): string {
  if (name !== undefined && isName(name) && name !== AUTHORITY) return name
  throw new UsageError('a name is needed: of the node, or of the operator\'s team', { step: 'ctl.keys' })
}

async function readPair (directory: string, name: string): Promise<ICertificateWithKey> {
  try {
    const [certificate, key] = await Promise.all([
      readFile(join(directory, `${name}.pem`), 'utf8'), readFile(join(directory, `${name}.key`), 'utf8')
    ])
    return { certificate, key }
  } catch (error) {
    throw new UsageError(`make the authority first: ${(error as Error).message}`, { step: 'ctl.keys', cause: error })
  }
}

async function writePair (directory: string, name: string, pair: ICertificateWithKey): Promise<string[]> {
  const files = [join(directory, `${name}.pem`), join(directory, `${name}.key`)]
  try {
    await mkdir(directory, { recursive: true })
    await writeFile(files[0] ?? '', pair.certificate, { flag: 'wx' })
    await writeFile(files[1] ?? '', pair.key, { flag: 'wx', mode: KEY_FILE_MODE })
    return files
  } catch (error) {
    throw new UsageError((error as Error).message, { step: 'ctl.keys', cause: error })
  }
}
