/** Messages between holders, standbys and witnesses, and their wire format: protobuf with a format version. */
import protobuf from 'protobufjs/light.js';
import { CodedError } from '../../../src/core/errors.js';
import type { ExitReason } from '../../../src/core/model/heartbeats.js';
import type { Attempt, JobId, MachineName, NodeName, Version } from '../../../src/core/model/ids.js';
import type { LogEntry } from './log-entries.js';
import type { AppendMessage, SnapshotMessage } from './replica.js';

/** Version of the wire format that this program writes; it reads this and older versions. */
export const FORMAT_VERSION = 1;

/** Topics of the plugin's messages between controllers. */
export const TOPIC = {
  append: 'warm_standby.append',
  snapshot: 'warm_standby.snapshot',
  probe: 'warm_standby.probe',
  prepare: 'warm_standby.prepare',
} as const;

/** Thrown for a message that cannot be decoded: `malformed`, or `unsupported` if its format is newer than this program's. */
export class MessageError extends CodedError {
  constructor(
    readonly code: 'malformed' | 'unsupported',
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** The controller that sends a message, and the shard that it is about. */
interface Sender {
  readonly node: NodeName;
  readonly shard: NodeName;
}

/** An append, with its sender. */
export type Append = AppendMessage & Sender;
/** A part of a snapshot, with its sender. */
export type Snapshot = SnapshotMessage & Sender;

/** The answer to an append or to a part of a snapshot. */
export interface Acknowledgement {
  readonly status: 'applied' | 'gap' | 'stale' | 'refused' | 'unsupported' | 'malformed';
  /** Number of the last entry that the standby has applied; 0 if there is none or the message was rejected. */
  readonly applied: number;
}

/** Asks a witness whether it reaches a shard's holder, and how much of the shard's log it has applied. */
export interface Probe {
  readonly holder: NodeName;
  readonly shard: NodeName;
  readonly epoch: Version;
}

/** The answer to a probe. */
export interface ProbeAnswer {
  readonly reaches: boolean;
  /** Number of the last entry applied under the probe's epoch; null if the witness is no warm standby of the shard. */
  readonly applied: number | null;
}

/** The prepare request of a planned handover: asks a standby whether it accepts the shard. */
export interface Prepare {
  readonly shard: NodeName;
  readonly epoch: Version;
  /** Number of the entry up to which the standby must have applied the log. */
  readonly head: number;
  /** Trace context of the handover's span; empty without tracing. */
  readonly traceParent: string;
}

/** The answer to a prepare request. */
export interface PrepareAnswer {
  readonly accepted: boolean;
  /** Why the standby does not accept the shard; empty if it does. */
  readonly reason: string;
}

// 64-bit integers are encoded as doubles: revisions and attempts are integers below 2^53, which doubles hold exactly.
const root = protobuf.Root.fromJSON({
  nested: {
    Task: {
      fields: {
        job: { type: 'string', id: 1 },
        index: { type: 'uint32', id: 2 },
        attempt: { type: 'double', id: 3 },
        machine: { type: 'string', id: 4 },
        why: { type: 'string', id: 5 },
      },
    },
    Agent: {
      fields: {
        machine: { type: 'string', id: 1 },
        address: { type: 'string', id: 2 },
        agentEpoch: { type: 'double', id: 3 },
        sequence: { type: 'double', id: 4 },
        token: { type: 'double', id: 5 },
        heardAt: { type: 'double', id: 6 },
      },
    },
    Failing: {
      fields: {
        job: { type: 'string', id: 1 },
        rounds: { type: 'uint32', id: 2 },
        why: { type: 'string', id: 3 },
        machines: { rule: 'repeated', type: 'string', id: 4 },
        retryAt: { type: 'double', id: 5 },
      },
    },
    Run: {
      fields: {
        machine: { type: 'string', id: 1 },
        job: { type: 'string', id: 2 },
        jobClass: { type: 'string', id: 3 },
        durationS: { type: 'double', id: 4 },
        estimateS: { type: 'double', id: 5 },
      },
    },
    Entry: {
      oneofs: { body: { oneof: ['start', 'stop', 'preempt', 'exited', 'agent', 'failing', 'run'] } },
      fields: {
        start: { type: 'Task', id: 1 },
        stop: { type: 'Task', id: 2 },
        preempt: { type: 'Task', id: 3 },
        exited: { type: 'Task', id: 4 },
        agent: { type: 'Agent', id: 5 },
        failing: { type: 'Failing', id: 6 },
        run: { type: 'Run', id: 7 },
      },
    },
    Message: {
      fields: {
        version: { type: 'uint32', id: 1 },
        node: { type: 'string', id: 2 },
        shard: { type: 'string', id: 3 },
        epoch: { type: 'double', id: 4 },
        number: { type: 'double', id: 5 },
        head: { type: 'double', id: 6 },
        part: { type: 'uint32', id: 7 },
        parts: { type: 'uint32', id: 8 },
        entries: { rule: 'repeated', type: 'Entry', id: 9 },
        text: { type: 'string', id: 10 },
        yes: { type: 'bool', id: 11 },
        hasNumber: { type: 'bool', id: 12 },
      },
    },
  },
});
const MessageType = root.lookupType('Message');
const EntryType = root.lookupType('Entry');

interface MessageFields {
  version: number;
  node: string;
  shard: string;
  epoch: number;
  number: number;
  head: number;
  part: number;
  parts: number;
  entries: EntryFields[];
  text: string;
  yes: boolean;
  hasNumber: boolean;
}
interface TaskFields {
  job: string;
  index: number;
  attempt: number;
  machine: string;
  why?: string;
}
type AgentFields = Extract<LogEntry, { kind: 'agent' }>;
type FailingFields = Extract<LogEntry, { kind: 'job_failing' }>;
interface RunFields {
  machine: string;
  job: string;
  jobClass: string;
  durationS: number;
  estimateS: number;
}
interface EntryFields {
  body?: 'start' | 'stop' | 'preempt' | 'exited' | 'agent' | 'failing' | 'run';
  start?: TaskFields;
  stop?: TaskFields;
  preempt?: TaskFields;
  exited?: TaskFields;
  agent?: AgentFields;
  failing?: FailingFields;
  run?: RunFields;
}

function entryFields(entry: LogEntry): EntryFields {
  switch (entry.kind) {
    case 'start':
    case 'stop':
    case 'preempt':
      return { [entry.kind]: entry.task };
    case 'exited':
      return { exited: { ...entry.task, why: entry.why } };
    case 'agent':
      return { agent: entry };
    case 'job_failing':
      return { failing: entry };
    case 'run':
      return { run: { machine: entry.machine, ...entry.run } };
  }
}

const taskFrom = (task: TaskFields) => ({
  job: task.job as JobId,
  index: task.index,
  attempt: task.attempt as Attempt,
  machine: task.machine as MachineName,
});

function entryFrom(fields: EntryFields): LogEntry {
  switch (fields.body) {
    case 'start':
    case 'stop':
    case 'preempt':
      return { kind: fields.body, task: taskFrom(fields[fields.body]!) };
    case 'exited':
      return {
        kind: 'exited',
        task: taskFrom(fields.exited!),
        why: (fields.exited!.why ?? 'absent') as ExitReason | 'absent',
      };
    case 'agent': {
      const { machine, address, agentEpoch, sequence, token, heardAt } = fields.agent!;
      return { kind: 'agent', machine, address, agentEpoch, sequence, token, heardAt };
    }
    case 'failing': {
      const { job, rounds, why, machines, retryAt } = fields.failing!;
      return { kind: 'job_failing', job, rounds, why, machines: [...machines], retryAt };
    }
    case 'run': {
      const { machine, job, jobClass, durationS, estimateS } = fields.run!;
      const run = { job: job as JobId, jobClass, durationS, estimateS };
      return { kind: 'run', machine: machine as MachineName, run };
    }
    case undefined:
      throw new MessageError('malformed', `log entry has no body known to format version ${FORMAT_VERSION}`);
  }
}

const encode = (fields: Partial<MessageFields>): Uint8Array =>
  MessageType.encode(MessageType.create({ version: FORMAT_VERSION, ...fields })).finish();

function decode(bytes: Uint8Array): MessageFields {
  let raw: MessageFields;
  try {
    raw = MessageType.decode(bytes) as unknown as MessageFields;
  } catch (error) {
    throw new MessageError('malformed', `not valid protobuf: ${(error as Error).message}`, { cause: error });
  }
  if (raw.version > FORMAT_VERSION)
    throw new MessageError('unsupported', `format version ${raw.version}, expected up to ${FORMAT_VERSION}`);
  if (raw.version < 1)
    throw new MessageError('malformed', `message has no format version, expected 1 to ${FORMAT_VERSION}`);
  return raw;
}

/** Decodes an answer; null if none came or if it cannot be decoded. */
export function readAnswer<T>(decodeAnswer: (bytes: Uint8Array) => T, bytes: Uint8Array | null): T | null {
  if (bytes === null) return null;
  try {
    return decodeAnswer(bytes);
  } catch (error) {
    if (error instanceof MessageError) return null;
    throw error;
  }
}

/** Checks that a decoded number is an integer from 0 to 2^53 - 1. Throws `MessageError`. */
function wholeNumber(value: number, name: string): number {
  if (!Number.isSafeInteger(value) || value < 0)
    throw new MessageError('malformed', `field ${name} is ${value}, expected an integer from 0 to 2^53 - 1`);
  return value;
}

const epochOf = (fields: MessageFields): Version => wholeNumber(fields.epoch, 'epoch') as Version;
const senderOf = (fields: MessageFields): Sender => ({
  node: fields.node as NodeName,
  shard: fields.shard as NodeName,
});

/** Approximate size of an entry in a message, in bytes; 4 of them are for its field tag and length. */
export const entrySize = (entry: LogEntry): number =>
  EntryType.encode(EntryType.create(entryFields(entry))).finish().length + 4;

/** Encodes an append. */
export const encodeAppend = (message: Append): Uint8Array =>
  encode({
    node: message.node,
    shard: message.shard,
    epoch: message.epoch,
    number: message.first,
    head: message.head,
    entries: message.entries.map(entryFields),
  });

/** Decodes an append. Throws `MessageError`. */
export function decodeAppend(bytes: Uint8Array): Append {
  const fields = decode(bytes);
  const first = wholeNumber(fields.number, 'first');
  if (first < 1)
    throw new MessageError('malformed', `append starts at entry number ${first}, expected at least 1`);
  return {
    ...senderOf(fields),
    epoch: epochOf(fields),
    first,
    head: wholeNumber(fields.head, 'head'),
    entries: fields.entries.map(entryFrom),
  };
}

/** Encodes a part of a snapshot. */
export const encodeSnapshot = (message: Snapshot): Uint8Array =>
  encode({
    node: message.node,
    shard: message.shard,
    epoch: message.epoch,
    number: message.upTo,
    part: message.part,
    parts: message.parts,
    entries: message.entries.map(entryFields),
  });

/** Decodes a part of a snapshot. Throws `MessageError`. */
export function decodeSnapshot(bytes: Uint8Array): Snapshot {
  const fields = decode(bytes);
  if (fields.parts < 1 || fields.part >= fields.parts)
    throw new MessageError('malformed', `snapshot part index ${fields.part}, expected below ${fields.parts}`);
  return {
    ...senderOf(fields),
    epoch: epochOf(fields),
    upTo: wholeNumber(fields.number, 'upTo'),
    part: fields.part,
    parts: fields.parts,
    entries: fields.entries.map(entryFrom),
  };
}

/** Encodes an acknowledgement. */
export const encodeAcknowledgement = (message: Acknowledgement): Uint8Array =>
  encode({ text: message.status, number: message.applied });

/** Decodes an acknowledgement. Throws `MessageError`. */
export function decodeAcknowledgement(bytes: Uint8Array): Acknowledgement {
  const fields = decode(bytes);
  return { status: fields.text as Acknowledgement['status'], applied: wholeNumber(fields.number, 'applied') };
}

/** Encodes a probe. */
export const encodeProbe = (message: Probe): Uint8Array =>
  encode({ node: message.holder, shard: message.shard, epoch: message.epoch });

/** Decodes a probe. Throws `MessageError`. */
export function decodeProbe(bytes: Uint8Array): Probe {
  const fields = decode(bytes);
  const { node, shard } = senderOf(fields);
  return { holder: node, shard, epoch: epochOf(fields) };
}

/** Encodes the answer to a probe. */
export const encodeProbeAnswer = (message: ProbeAnswer): Uint8Array =>
  encode({ yes: message.reaches, number: message.applied ?? 0, hasNumber: message.applied !== null });

/** Decodes the answer to a probe. Throws `MessageError`. */
export function decodeProbeAnswer(bytes: Uint8Array): ProbeAnswer {
  const fields = decode(bytes);
  return { reaches: fields.yes, applied: fields.hasNumber ? wholeNumber(fields.number, 'applied') : null };
}

/** Encodes a prepare request. */
export const encodePrepare = (message: Prepare): Uint8Array =>
  encode({ shard: message.shard, epoch: message.epoch, head: message.head, text: message.traceParent });

/** Decodes a prepare request. Throws `MessageError`. */
export function decodePrepare(bytes: Uint8Array): Prepare {
  const fields = decode(bytes);
  return {
    shard: fields.shard as NodeName,
    epoch: epochOf(fields),
    head: wholeNumber(fields.head, 'head'),
    traceParent: fields.text,
  };
}

/** Encodes the answer to a prepare request. */
export const encodePrepareAnswer = (message: PrepareAnswer): Uint8Array =>
  encode({ yes: message.accepted, text: message.reason });

/** Decodes the answer to a prepare request. Throws `MessageError`. */
export function decodePrepareAnswer(bytes: Uint8Array): PrepareAnswer {
  const fields = decode(bytes);
  return { accepted: fields.yes, reason: fields.text };
}
