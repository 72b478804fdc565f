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
/** Digests are kept for so many lines around the first difference that is shown. */
const CONTEXT_LINES = 3;

interface Job {
  readonly spec: RunSpec;
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

async function playInWorker({ spec, transcripts }: Job): Promise<RunDigest> {
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

/** Plays a run in a thread of its own; a run that breaks a rule is a digest too, with its error in place of the sum. */
function play(job: Job): Promise<RunDigest> {
  return new Promise((resolve) => {
    const agent = new Worker(__filename, { workerData: job });
    agent.once('message', resolve);
    agent.once('error', (error: Error) => {
      resolve({ run: nameOf(job.spec), messages: 0, sha256: `failed: ${error.message}` });
    });
  });
}

async function playAll(specs: readonly RunSpec[], transcripts: string | null): Promise<RunDigest[]> {
  const waiting = [...specs];
  const digests: RunDigest[] = [];
  const lane = async () => {
    for (let spec = waiting.shift(); spec !== undefined; spec = waiting.shift())
      digests.push(await play({ spec, transcripts }));
  };
  await Promise.all(Array.from({ length: availableParallelism() }, lane));
  const order = new Map(specs.map((spec, i) => [nameOf(spec), i]));
  return digests.sort((a, b) => order.get(a.run)! - order.get(b.run)!);
}

const print = (line: string) => process.stdout.write(`${line}\n`);

/** True where all digests are those of the file. */
function compare(file: string, now: readonly RunDigest[]): boolean {
  const before = new Map((JSON.parse(readFileSync(file, 'utf8')) as RunDigest[]).map((d) => [d.run, d]));
  const differing = now.filter((d) => before.get(d.run)?.sha256 !== d.sha256);
  for (const d of differing)
    print(`differs: ${d.run} ${before.get(d.run)?.messages ?? 'no'} -> ${d.messages}`);
  for (const d of now) if (d.sha256.startsWith('failed')) print(`${d.run} ${d.sha256}`);
  print(`${now.length - differing.length} of ${now.length} digests are equal`);
  return differing.length === 0;
}

function diff(a: string, b: string): boolean {
  const linesOf = (dir: string, name: string) =>
    gunzipSync(readFileSync(join(dir, name)))
      .toString('utf8')
      .split('\n');
  let isEqual = true;
  for (const name of readdirSync(a)) {
    const [left, right] = [linesOf(a, name), linesOf(b, name)];
    const at = left.findIndex((line, i) => line !== right[i]);
    if (at < 0 && left.length === right.length) continue;
    isEqual = false;
    const from = Math.max(0, (at < 0 ? left.length : at) - CONTEXT_LINES);
    print(`${name}: first difference in message ${at + 1}`);
    for (const line of left.slice(from, at)) print(`  ${line}`);
    print(`- ${left[at]}\n+ ${right[at]}`);
  }
  return isEqual;
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
  const digests = await playAll(parseRuns(values.runs), values.transcripts ?? null);
  if (values.out !== undefined) writeFileSync(values.out, `${JSON.stringify(digests, null, 1)}\n`);
  if (values.against !== undefined) return compare(values.against, digests);
  for (const d of digests) print(`${d.run} ${d.messages} ${d.sha256}`);
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
  void playInWorker(workerData as Job).then((digest) => {
    parentPort!.postMessage(digest);
  });
