/** Users' requests and answers: the protocol's field names, mapped to those of the core. */
import { Type, type Static } from '@sinclair/typebox';
import { jobId, teamName, typeName, zoneName, type JobId } from '../../core/model/ids.js';
import type { JobKind, JobSpec, JobState, JobStatus, Priority } from '../../core/model/jobs.js';
import { demandVector } from '../../core/model/resources.js';

/** Job ids are part of keys, so that only this form is accepted. */
const ID = '^wk-[A-Za-z0-9_.-]{1,100}$';
const ID_PATTERN = new RegExp(ID);
/** Longest list of dependencies in an answer. */
const MAX_LISTED_DEPENDENCIES = 100;

/** Whether the text has the form of a job id. */
export const isJobId = (text: string): boolean => ID_PATTERN.test(text);

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

/** A submission whose body has been checked against the schema. */
export type SubmissionBody = Static<typeof Submission>;

const KIND_FROM_WIRE: Record<SubmissionBody['shape'], JobKind> = {
  sweep: 'array',
  ensemble: 'gang',
  daemon: 'service',
};
const PRIORITY_FROM_WIRE: Record<SubmissionBody['tier'], Priority> = {
  production: 'production',
  urgent: 'high',
  standard: 'normal',
  low: 'low',
};
const PRIORITY_TO_WIRE: Record<Priority, SubmissionBody['tier']> = {
  production: 'production',
  high: 'urgent',
  normal: 'standard',
  low: 'low',
};
const STATE_TO_WIRE: Record<JobState, string> = {
  pending: 'pending',
  running: 'running',
  done: 'done',
  cancelled: 'withdrawn',
};

/** A submission as a job. */
export function jobFromWire(body: SubmissionBody): JobSpec {
  const dependencies = [...new Set((body.awaits ?? []).map(jobId))];
  return {
    id: jobId(body.nameId),
    class: body.workload,
    team: teamName(body.tenant),
    kind: KIND_FROM_WIRE[body.shape],
    priority: PRIORITY_FROM_WIRE[body.tier],
    tasks: body.shards,
    demand: demandVector(body.vcpus, body.memoryGb, body.cards),
    image: body.bundle,
    imageGb: body.pullGb,
    types: body.flavors?.map(typeName) ?? null,
    zone: body.vault == null ? null : zoneName(body.vault),
    oneZone: body.samePlace,
    spread: body.scatter,
    spot: body.loaner,
    estimateS: body.expectedS,
    checkpointS: body.snapshotEveryS,
    saveS: body.snapshotS,
    deadlineS: body.dueS ?? null,
    ...(dependencies.length === 0 ? {} : { needs: dependencies }),
  };
}

/** The answer to a submission or a cancellation. */
export const acceptedToWire = (id: JobId, state: JobState) => ({
  nameId: id,
  standing: STATE_TO_WIRE[state],
});

/**
 * The answer to a lookup. Beside what the protocol asks for it shows what a job waits for, inherits, was cancelled with or
 * fails with.
 */
export function statusToWire(id: JobId, job: JobStatus) {
  const { state, done, running, needs = [], because } = job;
  return {
    nameId: id,
    standing: STATE_TO_WIRE[state],
    done,
    running,
    ...(needs.length === 0 ? {} : { awaits: needs.slice(0, MAX_LISTED_DEPENDENCIES) }),
    ...inheritedToWire(job),
    ...(because === undefined ? {} : { withdrawnWith: because }),
    ...failuresToWire(job),
  };
}

const inheritedToWire = ({ inherited }: JobStatus) =>
  inherited === undefined
    ? {}
    : { inherits: { tier: PRIORITY_TO_WIRE[inherited.priority], dueInS: inherited.dueInS } };

const failuresToWire = ({ failing }: JobStatus) =>
  failing === undefined
    ? {}
    : {
        fails: {
          times: failing.rounds,
          exitCause: failing.why,
          tellers: failing.machines,
          nextTryInS: failing.nextTryInS,
        },
      };
