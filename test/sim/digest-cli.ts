/**
 * `npm run sim:digest`: digests of seeded runs, for changes that must not change what controllers do. Usage:
 *
 *     npm run sim:digest -- --out before.json [--transcripts DIR] [--runs small:1-24,grown:1-6,fleet:1-1,standby:1-12]
 *     npm run sim:digest -- --against before.json     compares; exits with 1 where a digest differs
 *     npm run sim:digest -- --diff DIR_A DIR_B        the first message in which two directories of transcripts differ
 */
import { createWriteStream, readFileSync, readdirSync, mkdirSync, writeFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import { createGzip, gunzipSync } from 'node:zlib';
import { digestOf, nameOf, type RunDigest, type RunSpec } from './digest.js';

const DEFAULT_RUNS = 'fleet:1-1,grown:1-6,small:1-24,standby:1-12';
/** Messages shown before the first difference. */
const CONTEXT_LINES = 3;

/** One run, for a thread of its own. */
interface RunRequest {
  readonly spec: RunSpec;
  /** Where the transcript goes; null: none is kept. */
  readonly transcripts: string | null;
}

function parseRuns(text: string): RunSpec[] {
  return text.split(',').flatMap((part) => {
    const match = /^(small|grown|fleet|standby):(\d+)-(\d+)$/.exec(part);
    if (match === null) throw new RangeError(`not a range of runs: ${part}`);
    const [, kind, first, last] = match;
    const seeds: RunSpec[] = [];
    for (let seed = Number(first); seed <= Number(last); seed++)
      seeds.push({ kind: kind as RunSpec['kind'], seed });
    return seeds;
  });
}

async function runInThread({ spec, transcripts }: RunRequest): Promise<RunDigest> {
  if (transcripts === null) return digestOf(spec);
  const gzip = createGzip();
  const file = createWriteStream(join(transcripts, `${nameOf(spec)}.gz`));
  const closed = new Promise<void>((resolve) => file.on('close', resolve));
  gzip.pipe(file);
  const digest = await digestOf(spec, (line) => gzip.write(line));
  gzip.end();
  await closed;
  return digest;
}

/** Starts a thread for a run; a run that violates an invariant has its error in place of the digest. */
function startRun(request: RunRequest): Promise<RunDigest> {
  return new Promise((resolve) => {
    const thread = new Worker(__filename, { workerData: request });
    thread.once('message', resolve);
    thread.once('error', (error: Error) => {
      resolve({ run: nameOf(request.spec), messages: 0, sha256: `failed: ${error.message}` });
    });
  });
}

async function runAll(specs: readonly RunSpec[], transcripts: string | null): Promise<RunDigest[]> {
  const waiting = [...specs];
  const digests: RunDigest[] = [];
  const runWaiting = async () => {
    for (let spec = waiting.shift(); spec !== undefined; spec = waiting.shift())
      digests.push(await startRun({ spec, transcripts }));
  };
  await Promise.all(Array.from({ length: availableParallelism() }, runWaiting));
  const order = new Map(specs.map((spec, i) => [nameOf(spec), i]));
  return digests.sort((one, other) => order.get(one.run)! - order.get(other.run)!);
}

const print = (line: string) => process.stdout.write(`${line}\n`);

/** Prints the runs whose digests differ from those of the file; true where there are none. */
function compare(file: string, digests: readonly RunDigest[]): boolean {
  const recorded = JSON.parse(readFileSync(file, 'utf8')) as RunDigest[];
  const before = new Map(recorded.map((digest) => [digest.run, digest]));
  const differing = digests.filter(({ run, sha256 }) => before.get(run)?.sha256 !== sha256);
  for (const { run, messages } of differing)
    print(`differs: ${run} ${before.get(run)?.messages ?? 'no'} -> ${messages}`);
  for (const { run, sha256 } of digests) if (sha256.startsWith('failed')) print(`${run} ${sha256}`);
  print(`${digests.length - differing.length} of ${digests.length} digests are equal`);
  return differing.length === 0;
}

/** Prints the first message in which each pair of transcripts differs; true where there is none. */
function diff(directory: string, otherDirectory: string): boolean {
  let isEqual = true;
  for (const name of readdirSync(directory)) {
    const lines = readTranscript(join(directory, name));
    const otherLines = readTranscript(join(otherDirectory, name));
    const at = lines.findIndex((line, i) => line !== otherLines[i]);
    if (at < 0 && lines.length === otherLines.length) continue;
    isEqual = false;
    const first = at < 0 ? lines.length : at;
    print(`${name}: first difference in message ${first + 1}`);
    for (const line of lines.slice(Math.max(0, first - CONTEXT_LINES), first)) print(`  ${line}`);
    print(`- ${lines[first]}\n+ ${otherLines[first]}`);
  }
  return isEqual;
}

function readTranscript(file: string): string[] {
  return gunzipSync(readFileSync(file)).toString('utf8').split('\n');
}

async function main(): Promise<boolean> {
  const { values, positionals } = parseArgs({
    allowPositionals: true,
    options: {
      runs: { type: 'string', default: DEFAULT_RUNS },
      out: { type: 'string' },
      against: { type: 'string' },
      transcripts: { type: 'string' },
      diff: { type: 'boolean', default: false },
    },
  });
  if (values.diff) return diff(positionals[0]!, positionals[1]!);
  if (values.transcripts !== undefined) mkdirSync(values.transcripts, { recursive: true });
  const digests = await runAll(parseRuns(values.runs), values.transcripts ?? null);
  if (values.out !== undefined) writeFileSync(values.out, `${JSON.stringify(digests, null, 1)}\n`);
  if (values.against !== undefined) return compare(values.against, digests);
  for (const { run, messages, sha256 } of digests) print(`${run} ${messages} ${sha256}`);
  return true;
}

if (isMainThread)
  main().then(
    (isEqual) => {
      process.exitCode = isEqual ? 0 : 1;
    },
    (error: unknown) => {
      process.stderr.write(`${String(error)}\n`);
      process.exitCode = 2;
    },
  );
else
  void runInThread(workerData as RunRequest).then((digest) => {
    parentPort!.postMessage(digest);
  });
