/** JSON bodies of users' requests and responses: maps the field names of the protocol to those of the core. */
import { Type, type Static } from '@sinclair/typebox';
import { jobId, teamName, typeName, zoneName, type JobId } from '../../core/model/ids.js';
import type { JobKind, JobSpec, JobState, JobStatus, Priority } from '../../core/model/jobs.js';
import { demandVector } from '../../core/model/resources.js';

/** The form of job ids. Ids become part of keys in the state service, hence no slashes or spaces. */
const JOB_ID_PATTERN = '^wk-[A-Za-z0-9_.-]{1,100}$';
const JOB_ID_REGEXP = new RegExp(JOB_ID_PATTERN);
/** Maximum number of dependencies listed in the status of a job. */
const MAX_LISTED_DEPENDENCIES = 100;

/** Tells whether a text has the form of a job id. */
export const isJobId = (text: string): boolean => JOB_ID_REGEXP.test(text);

const name = Type.String({ minLength: 1, maxLength: 200 });
const amount = Type.Number({ minimum: 0, maximum: 1e9 });
const flag = Type.Boolean();
/** JSON schema of the body of a submission. */
export const SubmissionSchema = Type.Object({
  nameId: Type.String({ pattern: JOB_ID_PATTERN }),
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
  awaits: Type.Optional(Type.Union([Type.Null(), Type.Array(Type.String({ pattern: JOB_ID_PATTERN }))])),
});

/** The body of a submission that has passed `SubmissionSchema`. */
export type SubmissionBody = Static<typeof SubmissionSchema>;

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

/** Converts the body of a submission to a job specification; duplicate dependencies are removed. */
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

/** The response body for an accepted submission or a completed cancellation. */
export const jobStateToWire = (id: JobId, state: JobState) => ({
  nameId: id,
  standing: STATE_TO_WIRE[state],
});

/**
 * The response body for a job lookup. Beside the fields that the protocol requires it has, where they apply,
 * the unfinished dependencies, the inherited priority and deadline, the job whose cancellation caused that
 * of this one, and the latest failures.
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
