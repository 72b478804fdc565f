/** Users' requests and answers: the protocol's field names, mapped to those of the core. */
import { jobId, teamName, typeName, zoneName, type JobId } from '../../core/model/ids.js';
import type { JobKind, Priority, JobSpec, JobState, JobStatus } from '../../core/model/jobs.js';
import { demandVector } from '../../core/model/resources.js';
import { Type, type Static } from '@sinclair/typebox';

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
