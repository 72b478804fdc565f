/** The only place that knows the names used on the wire. */
import { Type, type Static } from '@sinclair/typebox';
import {
  attempt,
  capacityVector,
  demandVector,
  jobId,
  machineName,
  revision,
  teamName,
  fencingToken,
  typeName,
  version,
  zoneName,
  type AgentCommand,
  type ExitReason,
  type JobId,
  type JobSpec,
  type JobState,
  type JobStatus,
  type JobKind,
  type MachineName,
  type MachineType,
  type Priority,
  type Heartbeat,
  type ReportedTask,
  type Revision,
  type TaskState,
  type FencingToken,
  type TypeName,
  type Version,
  type Zone,
} from '../core/types.js';
import type { KeyChange } from '../core/view.js';
import type { WriteReason } from './state/usage.js';

/** Paths of all requests. */
export const paths = {
  jobs: '/v1/jobs',
  job: '/v1/jobs/:id',
  cancel: '/v1/jobs/:id/abort',
  health: '/healthz',
  status: '/v1/status',
  packageCommand: '/v1/packages/:name/:command',
  metrics: '/metrics',
  heartbeat: '/v1/report',
  directCommands: '/do',
  show: '/show',
  types: '/machine_types',
  machines: '/machines',
  release: '/machines/release',
  kv: '/kv',
  txn: '/txn',
  leases: '/grants',
  watch: '/follow',
};
/** The largest body of a request. */
export const BODY_LIMIT = 64 * 1024;

/** Job ids are part of keys, so only what is plainly an id is taken for one. */
const ID = '^wk-[A-Za-z0-9_.-]{1,100}$';
const ID_RE = new RegExp(ID);
/** Whether the text has the form of a job id. */
export const isJobId = (s: string) => ID_RE.test(s);

const name = Type.String({ minLength: 1, maxLength: 200 });
const amount = Type.Number({ minimum: 0, maximum: 1e9 });
const flag = Type.Boolean();
/** The body of a submission. */
export const Submission = Type.Object({
  nameId: Type.String({ pattern: ID }),
  workload: name,
  tenant: name,
  shape: Type.Union([Type.Literal('sweep'), Type.Literal('ensemble'), Type.Literal('daemon')]),
  tier: Type.Union([
    Type.Literal('production'),
    Type.Literal('urgent'),
    Type.Literal('standard'),
    Type.Literal('low'),
  ]),
  shards: Type.Integer({ minimum: 1, maximum: 100_000 }),
  vcpus: amount,
  cards: amount,
  memoryGb: amount,
  bundle: name,
  pullGb: amount,
  flavors: Type.Optional(Type.Union([Type.Null(), Type.Array(name, { maxItems: 200 })])),
  vault: Type.Optional(Type.Union([Type.Null(), name])),
  samePlace: flag,
  scatter: flag,
  loaner: flag,
  expectedS: amount,
  snapshotEveryS: amount,
  snapshotS: amount,
  dueS: Type.Optional(Type.Union([Type.Null(), amount])),
  awaits: Type.Optional(Type.Union([Type.Null(), Type.Array(Type.String({ pattern: ID }))])),
});

const KIND: Record<string, JobKind> = { sweep: 'array', ensemble: 'gang', daemon: 'service' };
const PRIORITY: Record<string, Priority> = {
  production: 'production',
  urgent: 'high',
  standard: 'normal',
  low: 'low',
};

const TIER: Record<Priority, string> = {
  production: 'production',
  high: 'urgent',
  normal: 'standard',
  low: 'low',
};

/** A submission as a job. */
export function jobFromWire(b: Static<typeof Submission>): JobSpec {
  return {
    id: jobId(b.nameId),
    class: b.workload,
    team: teamName(b.tenant),
    kind: KIND[b.shape]!,
    priority: PRIORITY[b.tier]!,
    tasks: b.shards,
    demand: demandVector(b.vcpus, b.memoryGb, b.cards),
    image: b.bundle,
    imageGb: b.pullGb,
    types: b.flavors?.map(typeName) ?? null,
    zone: b.vault == null ? null : zoneName(b.vault),
    oneZone: b.samePlace,
    spread: b.scatter,
    spot: b.loaner,
    estimateS: b.expectedS,
    checkpointS: b.snapshotEveryS,
    saveS: b.snapshotS,
    deadlineS: b.dueS ?? null,
    ...(b.awaits == null || b.awaits.length === 0 ? {} : { needs: [...new Set(b.awaits.map(jobId))] }),
  };
}

const STANDING = { pending: 'pending', running: 'running', done: 'done', cancelled: 'withdrawn' };
/** The answer to a submission or a cancellation. */
export const acceptedToWire = (id: JobId, state: JobState) => ({ nameId: id, standing: STANDING[state] });
/** What a job waits for, inherits, was withdrawn with or fails with is told beside what the protocol asks for. */
export function statusToWire(id: JobId, job: JobStatus) {
  const { state, done, running, needs = [], inherited, because, failing } = job;
  return {
    nameId: id,
    standing: STANDING[state],
    done,
    running,
    ...(needs.length === 0 ? {} : { awaits: needs.slice(0, MOST_NEEDS_TOLD) }),
    ...(inherited === undefined
      ? {}
      : { inherits: { tier: TIER[inherited.priority], dueInS: inherited.dueInS } }),
    ...(because === undefined ? {} : { withdrawnWith: because }),
    ...(failing === undefined
      ? {}
      : {
          fails: {
            times: failing.rounds,
            exitCause: failing.why,
            tellers: failing.machines,
            nextTryInS: failing.nextTryInS,
          },
        }),
  };
}
const MOST_NEEDS_TOLD = 100;

// Workers.

const TASK_STATE: Record<string, TaskState> = {
  pulling: 'fetching',
  waiting: 'waiting',
  running: 'running',
  flushing: 'saving',
  ended: 'exited',
};
const WHYS = new Set(['done', 'stopped', 'peers', 'incomplete', 'error', 'full', 'in_use', 'unknown']);

type Json = Record<string, unknown>;
const isObject = (x: unknown): x is Json => typeof x === 'object' && x !== null && !Array.isArray(x);
const isCount = (x: unknown): x is number => typeof x === 'number' && Number.isInteger(x) && x >= 0;

function splitTask(s: string): { job: JobId; index: number } | null {
  const at = s.lastIndexOf('/');
  const index = Number(s.slice(at + 1));
  return at > 0 && Number.isInteger(index) ? { job: jobId(s.slice(0, at)), index } : null;
}

/** Null if it is no report. */
export function heartbeatFromWire(b: unknown): Heartbeat | null {
  if (!isObject(b)) return null;
  if (typeof b['teller'] !== 'string' || !/^[\w.:-]{1,150}$/.test(b['teller'])) return null;
  if (typeof b['flavor'] !== 'string' || typeof b['vault'] !== 'string') return null;
  if (!isCount(b['shift']) || !isCount(b['tally']) || !isCount(b['mandate'] ?? 0)) return null;
  const tasks: ReportedTask[] = [];
  const list: unknown = b['shards'] ?? [];
  if (!Array.isArray(list)) return null;
  for (const t of list as unknown[]) {
    if (!isObject(t) || typeof t['shard'] !== 'string' || !isCount(t['tryNo'])) return null;
    const at = splitTask(t['shard']);
    const state = TASK_STATE[String(t['standing'])];
    if (at === null || state === undefined) return null;
    const why = t['exitCause'];
    tasks.push({
      job: at.job,
      index: at.index,
      attempt: attempt(t['tryNo']),
      state,
      exitReason: typeof why === 'string' && WHYS.has(why) ? (why as ExitReason) : null,
      hasCheckpoint: t['stored'] === true,
    });
  }
  const notice = b['recallS'];
  return {
    machine: machineName(b['teller']),
    address: typeof b['endpoint'] === 'string' ? b['endpoint'] : '',
    type: typeName(b['flavor']),
    zone: zoneName(b['vault']),
    spot: b['loaner'] === true,
    agentEpoch: b['shift'],
    sequence: b['tally'],
    token: fencingToken((b['mandate'] ?? 0) as number),
    preemptionNoticeS: typeof notice === 'number' ? notice : null,
    tasks,
  };
}

const OP = { start: 'run', stop: 'stop', forget: 'forget' };
const commandToWire = (c: AgentCommand) => ({
  orderKind: OP[c.op],
  shard: `${c.job}/${c.index}`,
  tryNo: c.attempt,
  ...(c.op === 'stop' ? { windDownS: c.gracePeriodS } : {}),
});
/** No line may exceed 64 KiB, so what does not fit waits for the next report. */
export function commandsToWire(token: FencingToken, commands: readonly AgentCommand[]) {
  return { mandate: token, orders: commands.slice(0, 400).map(commandToWire) };
}
/** The body of a direct command to a worker. */
export const directCommandsToWire = (
  token: FencingToken,
  session: number,
  commands: readonly AgentCommand[],
) => ({
  ...commandsToWire(token, commands),
  shift: session,
});
/** The answer to a worker that should report to another controller. */
export const redirectToWire = (node: string | null) => (node === null ? {} : { answersTo: node });

// Cloud.

/** A machine as the cloud lists it. */
export interface ListedMachine {
  readonly name: MachineName;
  readonly type: TypeName;
  readonly zone: Zone;
  readonly spot: boolean;
  readonly state: string;
  readonly ageS: number;
}

/** The machine types of the cloud's answer. */
export function typesFromWire(b: unknown): MachineType[] {
  if (!isObject(b) || !Array.isArray(b['flavors'])) throw new Error('machine types: no list');
  return (b['flavors'] as Json[]).map((t) => ({
    name: typeName(String(t['label'])),
    capacity: capacityVector(Number(t['vcpus']), Number(t['memoryGb']), Number(t['cards'] ?? 0)),
    price: Number(t['rate']),
    spotPrice: Number(t['spotPrice'] ?? t['rate']),
    bootS: Number(t['readyS']),
    cacheGb: Number(t['localGb'] ?? 0),
    fetchGbPerS: Number(t['fetchGbPerS'] ?? 1),
    zones: ((t['vaults'] ?? []) as string[]).map(zoneName),
  }));
}
/** The body of a rental request. */
export const rentalToWire = (r: {
  name: string;
  type: TypeName;
  zone: Zone;
  spot: boolean;
  count: number;
}) => ({
  rental: r.name,
  flavor: r.type,
  vault: r.zone,
  loaner: r.spot,
  howMany: r.count,
});
/** The machines of the answer to a rental. */
export const rentedFromWire = (b: unknown): MachineName[] =>
  isObject(b) && Array.isArray(b['tellers']) ? (b['tellers'] as string[]).map(machineName) : [];
/** The body of a request to return machines. */
export const releaseToWire = (names: readonly MachineName[]) => ({ tellers: names });
/** The query for a page of the machine list. */
export const listQuery = (after: string | null) =>
  `?most=500${after === null ? '' : `&from=${encodeURIComponent(after)}`}`;
/** A page of the machine list. */
export function listFromWire(b: unknown): { machines: ListedMachine[]; more: boolean } {
  if (!isObject(b) || !Array.isArray(b['tellers'])) throw new Error('machine list: no list');
  const machines = (b['tellers'] as Json[]).map((m) => ({
    name: machineName(String(m['nameId'])),
    type: typeName(String(m['flavor'])),
    zone: zoneName(String(m['vault'])),
    spot: m['loaner'] === true,
    state: m['standing'] === 'starting' ? 'booting' : String(m['standing']),
    ageS: Number(m['ageS'] ?? 0),
  }));
  return { machines, more: b['hasNext'] === true };
}

// State service.

/** A change to one key. */
export interface WriteOperation {
  readonly key: string;
  /** Undefined: delete. */
  readonly value: unknown;
  readonly lease?: number;
  /** Why it is written; only counted. */
  readonly reason?: WriteReason;
}
/** The version that a key must have. */
export interface Guard {
  readonly key: string;
  readonly version: Version;
}
/** The body of a transaction. */
export const transactionToWire = (guards: readonly Guard[], operations: readonly WriteOperation[]) => ({
  guards: guards.map((g) => ({ path: g.key, entryRev: g.version })),
  then: operations.map((o) =>
    o.value === undefined
      ? { remove: o.key }
      : { write: o.key, value: o.value, ...(o.lease === undefined ? {} : { hold: o.lease }) },
  ),
});
/** The revision that an answer names. */
export const revisionFromWire = (b: unknown): Revision =>
  revision(isObject(b) ? Number(b['ledgerRev'] ?? 0) : 0);
/** The keys whose guards failed. */
export const failedFromWire = (b: unknown): string[] =>
  isObject(b) && Array.isArray(b['failed']) ? (b['failed'] as string[]) : [];
/** A page of a listing of keys. */
export function rowsFromWire(b: unknown): { rows: KeyChange[]; more: boolean; rev: Revision } {
  if (!isObject(b)) throw new Error('listing: no object');
  const rows = ((b['rows'] ?? []) as Json[]).map((r) => ({
    key: String(r['path']),
    value: r['value'],
    version: version(Number(r['entryRev'])),
  }));
  return { rows, more: b['hasNext'] === true, rev: revisionFromWire(b) };
}
/** A key's value and version. */
export function entryFromWire(b: unknown): { value: unknown; version: Version } {
  if (!isObject(b)) throw new Error('key: no object');
  return { value: b['value'], version: version(Number(b['entryRev'])) };
}
/** The changes of a watch's answer. */
export function eventsFromWire(b: unknown): { events: KeyChange[]; rev: Revision } {
  if (!isObject(b)) throw new Error('watch: no object');
  const events = ((b['events'] ?? []) as Json[]).map((e) => ({
    key: String(e['write'] ?? e['remove']),
    value: e['write'] === undefined ? undefined : e['value'],
    version: version(Number(e['entryRev'])),
  }));
  return { events, rev: revisionFromWire(b) };
}
/** The query for a page of keys. */
export const listKeysQuery = (prefix: string, after: string | null) =>
  `?starts=${encodeURIComponent(prefix)}&most=1000${after === null ? '' : `&from=${encodeURIComponent(after)}`}`;
/** The query of a watch. */
export const watchQuery = (prefix: string, from: Revision, waitMs: number) =>
  `?starts=${encodeURIComponent(prefix)}&from=${from}&blockMs=${waitMs}`;
/** The body of a request for a lease. */
export const leaseToWire = (ttlMs: number) => ({ ttlMs });
/** The lease that was granted. */
export const leaseFromWire = (b: unknown): number => (isObject(b) ? Number(b['hold']) : Number.NaN);
