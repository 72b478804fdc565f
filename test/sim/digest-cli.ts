/**
 * `npm run sim:digest`: compares digests of seeded runs, to verify that a change of code leaves the behaviour of controllers
 * unchanged. Usage:
 *
 *     npm run sim:digest -- --out before.json [--transcripts DIR] [--runs small:1-24,grown:1-6,fleet:1-1,standby:1-12]
 *     npm run sim:digest -- --against before.json     compares with recorded digests
 *     npm run sim:digest -- --diff DIR_A DIR_B        prints the first message in which each pair of transcripts differs
 *
 * Exits with 0 if all are equal, 1 if a digest or transcript differs, and 2 on an error.
 */
import { createWriteStream, readFileSync, readdirSync, mkdirSync, writeFileSync } from 'node:fs';
import { availableParallelism } from 'node:os';
import { join } from 'node:path';
import { parseArgs } from 'node:util';
import { Worker, isMainThread, parentPort, workerData } from 'node:worker_threads';
import { createGzip, gunzipSync } from 'node:zlib';
import { digestRun, runName, type RunDigest, type RunSpec } from './digest.js';

const DEFAULT_RUNS = 'fleet:1-1,grown:1-6,small:1-24,standby:1-12';
/** Number of messages printed before the first difference. */
const CONTEXT_LINES = 3;

/** A run for a worker thread. */
interface RunRequest {
  readonly spec: RunSpec;
  /** Directory for the transcript; null if none is written. */
  readonly transcriptDirectory: string | null;
}

function parseRuns(text: string): RunSpec[] {
  return text.split(',').flatMap((part) => {
    const match = /^(small|grown|fleet|standby):(\d+)-(\d+)$/.exec(part);
    if (match === null)
      throw new RangeError(`invalid range of runs "${part}", expected KIND:FIRST-LAST such as small:1-24`);
    const [, kind, first, last] = match;
    const seeds: RunSpec[] = [];
    for (let seed = Number(first); seed <= Number(last); seed++)
      seeds.push({ kind: kind as RunSpec['kind'], seed });
    return seeds;
  });
}

async function runInThread({ spec, transcriptDirectory }: RunRequest): Promise<RunDigest> {
  if (transcriptDirectory === null) return digestRun(spec);
  const gzip = createGzip();
  const file = createWriteStream(join(transcriptDirectory, `${runName(spec)}.gz`));
  const closed = new Promise<void>((resolve) => file.on('close', resolve));
  gzip.pipe(file);
  const digest = await digestRun(spec, (line) => gzip.write(line));
  gzip.end();
  await closed;
  return digest;
}

/** Starts a thread for a run. If the run throws, such as on a violated invariant, its digest is `failed: MESSAGE`. */
function startRun(request: RunRequest): Promise<RunDigest> {
  return new Promise((resolve) => {
    const thread = new Worker(__filename, { workerData: request });
    thread.once('message', resolve);
    thread.once('error', (error: Error) => {
      resolve({ run: runName(request.spec), messages: 0, sha256: `failed: ${error.message}` });
    });
  });
}

async function runAll(specs: readonly RunSpec[], transcriptDirectory: string | null): Promise<RunDigest[]> {
  const waiting = [...specs];
  const digests: RunDigest[] = [];
  const runWaiting = async () => {
    for (let spec = waiting.shift(); spec !== undefined; spec = waiting.shift())
      digests.push(await startRun({ spec, transcriptDirectory }));
  };
  await Promise.all(Array.from({ length: availableParallelism() }, runWaiting));
  const order = new Map(specs.map((spec, i) => [runName(spec), i]));
  return digests.sort((one, other) => order.get(one.run)! - order.get(other.run)!);
}

const printLine = (line: string) => process.stdout.write(`${line}\n`);

/** Prints the runs whose digests differ from those in the file, or that failed; returns whether all digests are equal. */
function compareDigests(file: string, digests: readonly RunDigest[]): boolean {
  const recorded = JSON.parse(readFileSync(file, 'utf8')) as RunDigest[];
  const before = new Map(recorded.map((digest) => [digest.run, digest]));
  const differing = digests.filter(({ run, sha256 }) => before.get(run)?.sha256 !== sha256);
  for (const { run, messages } of differing)
    printLine(`differs: ${run} ${before.get(run)?.messages ?? 'no'} -> ${messages}`);
  for (const { run, sha256 } of digests) if (sha256.startsWith('failed')) printLine(`${run} ${sha256}`);
  printLine(`${digests.length - differing.length} of ${digests.length} digests are equal`);
  return differing.length === 0;
}

/** Prints the first message in which each pair of transcripts differs; returns whether all are equal. */
function diffTranscripts(directory: string, otherDirectory: string): boolean {
  let isEqual = true;
  for (const name of readdirSync(directory)) {
    const lines = readTranscript(join(directory, name));
    const otherLines = readTranscript(join(otherDirectory, name));
    const at = lines.findIndex((line, i) => line !== otherLines[i]);
    if (at < 0 && lines.length === otherLines.length) continue;
    isEqual = false;
    const first = at < 0 ? lines.length : at;
    printLine(`${name}: first difference in message ${first + 1}`);
    for (const line of lines.slice(Math.max(0, first - CONTEXT_LINES), first)) printLine(`  ${line}`);
    printLine(`- ${lines[first]}\n+ ${otherLines[first]}`);
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
  if (values.diff) return diffTranscripts(positionals[0]!, positionals[1]!);
  if (values.transcripts !== undefined) mkdirSync(values.transcripts, { recursive: true });
  const digests = await runAll(parseRuns(values.runs), values.transcripts ?? null);
  if (values.out !== undefined) writeFileSync(values.out, `${JSON.stringify(digests, null, 1)}\n`);
  if (values.against !== undefined) return compareDigests(values.against, digests);
  for (const { run, messages, sha256 } of digests) printLine(`${run} ${messages} ${sha256}`);
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
