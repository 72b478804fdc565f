/** Messages between standbys and holders, and their form on the wire: protobuf, with a version of the format. */
import protobuf from 'protobufjs/light.js';
import { CodedError } from '../../../src/core/errors.js';
import type { ExitReason } from '../../../src/core/model/heartbeats.js';
import type { Attempt, JobId, MachineName, NodeName, Version } from '../../../src/core/model/ids.js';
import type { LogEntry } from './log-entries.js';
import type { AppendMessage, SnapshotMessage } from './replica.js';

/** The version of the format that this program writes; it reads this and older ones. */
export const FORMAT_VERSION = 1;

/** Topics of the package. */
export const TOPIC = {
  append: 'warm_standby.append',
  snapshot: 'warm_standby.snapshot',
  probe: 'warm_standby.probe',
  prepare: 'warm_standby.prepare',
} as const;

/** Why a message was not taken. */
export class MessageError extends CodedError {
  constructor(
    readonly code: 'malformed' | 'unsupported',
    message: string,
    options?: ErrorOptions,
  ) {
    super(message, options);
  }
}

/** Who sends about which shard. */
interface Sender {
  readonly node: NodeName;
  readonly shard: NodeName;
}

/** An append, with its sender. */
export type Append = AppendMessage & Sender;
/** A part of a snapshot, with its sender. */
export type Snapshot = SnapshotMessage & Sender;

/** What became of an append or of a part of a snapshot. */
export interface Acknowledgement {
  readonly status: 'applied' | 'gap' | 'stale' | 'refused' | 'unsupported' | 'malformed';
  /** The last entry that the standby has applied. */
  readonly applied: number;
}

/** Asks whether the receiver reaches a holder, and how far it is with a shard. */
export interface Probe {
  readonly holder: NodeName;
  readonly shard: NodeName;
  readonly epoch: Version;
}

/** The answer to a probe. */
export interface ProbeAnswer {
  readonly reaches: boolean;
  /** The last entry applied under that epoch, or null where the receiver is no warm standby of the shard. */
  readonly applied: number | null;
}

/** Asks a standby whether it takes a shard in a planned handover. */
export interface Prepare {
  readonly shard: NodeName;
  readonly epoch: Version;
  readonly head: number;
  /** Context of the handover's span. */
  readonly traceParent: string;
}

/** The answer to that. */
export interface PrepareAnswer {
  readonly accepted: boolean;
  readonly reason: string;
}

// Numbers of 64 bits go as doubles: revisions and attempts are whole numbers below 2^53 in this program.
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

interface Fields {
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
      throw new MessageError('malformed', 'an entry of no known kind');
  }
}

const encode = (fields: Partial<Fields>): Uint8Array =>
  MessageType.encode(MessageType.create({ version: FORMAT_VERSION, ...fields })).finish();

function decode(bytes: Uint8Array): Fields {
  let fields: Fields;
  try {
    fields = MessageType.decode(bytes) as unknown as Fields;
  } catch (error) {
    throw new MessageError('malformed', (error as Error).message, { cause: error });
  }
  if (fields.version > FORMAT_VERSION)
    throw new MessageError('unsupported', `format ${fields.version}, this program knows ${FORMAT_VERSION}`);
  if (fields.version < 1) throw new MessageError('malformed', 'no version');
  return fields;
}

/** Reads an answer; one that did not come or can't be read is null. */
export function readAnswer<T>(decodeAnswer: (bytes: Uint8Array) => T, bytes: Uint8Array | null): T | null {
  if (bytes === null) return null;
  try {
    return decodeAnswer(bytes);
  } catch (error) {
    if (error instanceof MessageError) return null;
    throw error;
  }
}

/** A whole number from 0 on. */
function whole(value: number, name: string): number {
  if (!Number.isSafeInteger(value) || value < 0) throw new MessageError('malformed', `${name}: ${value}`);
  return value;
}

const epochOf = (fields: Fields): Version => whole(fields.epoch, 'epoch') as Version;
const senderOf = (fields: Fields): Sender => ({
  node: fields.node as NodeName,
  shard: fields.shard as NodeName,
});

/** About how many bytes an entry takes in a message. */
export const entrySize = (entry: LogEntry): number =>
  EntryType.encode(EntryType.create(entryFields(entry))).finish().length + 4;

/** Writes an append. */
export const encodeAppend = (message: Append): Uint8Array =>
  encode({
    node: message.node,
    shard: message.shard,
    epoch: message.epoch,
    number: message.first,
    head: message.head,
    entries: message.entries.map(entryFields),
  });

/** Reads an append. Throws `MessageError`. */
export function decodeAppend(bytes: Uint8Array): Append {
  const fields = decode(bytes);
  const first = whole(fields.number, 'first');
  if (first < 1) throw new MessageError('malformed', 'first: 0');
  return {
    ...senderOf(fields),
    epoch: epochOf(fields),
    first,
    head: whole(fields.head, 'head'),
    entries: fields.entries.map(entryFrom),
  };
}

/** Writes a part of a snapshot. */
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

/** Reads a part of a snapshot. Throws `MessageError`. */
export function decodeSnapshot(bytes: Uint8Array): Snapshot {
  const fields = decode(bytes);
  if (fields.parts < 1 || fields.part >= fields.parts)
    throw new MessageError('malformed', `part ${fields.part} of ${fields.parts}`);
  return {
    ...senderOf(fields),
    epoch: epochOf(fields),
    upTo: whole(fields.number, 'upTo'),
    part: fields.part,
    parts: fields.parts,
    entries: fields.entries.map(entryFrom),
  };
}

/** Writes an acknowledgement. */
export const encodeAcknowledgement = (message: Acknowledgement): Uint8Array =>
  encode({ text: message.status, number: message.applied });

/** Reads an acknowledgement. Throws `MessageError`. */
export function decodeAcknowledgement(bytes: Uint8Array): Acknowledgement {
  const fields = decode(bytes);
  return { status: fields.text as Acknowledgement['status'], applied: whole(fields.number, 'applied') };
}

/** Writes a probe. */
export const encodeProbe = (message: Probe): Uint8Array =>
  encode({ node: message.holder, shard: message.shard, epoch: message.epoch });

/** Reads a probe. Throws `MessageError`. */
export function decodeProbe(bytes: Uint8Array): Probe {
  const fields = decode(bytes);
  const { node, shard } = senderOf(fields);
  return { holder: node, shard, epoch: epochOf(fields) };
}

/** Writes the answer to a probe. */
export const encodeProbeAnswer = (message: ProbeAnswer): Uint8Array =>
  encode({ yes: message.reaches, number: message.applied ?? 0, hasNumber: message.applied !== null });

/** Reads the answer to a probe. Throws `MessageError`. */
export function decodeProbeAnswer(bytes: Uint8Array): ProbeAnswer {
  const fields = decode(bytes);
  return { reaches: fields.yes, applied: fields.hasNumber ? whole(fields.number, 'applied') : null };
}

/** Writes the question before a handover. */
export const encodePrepare = (message: Prepare): Uint8Array =>
  encode({ shard: message.shard, epoch: message.epoch, head: message.head, text: message.traceParent });

/** Reads the question before a handover. Throws `MessageError`. */
export function decodePrepare(bytes: Uint8Array): Prepare {
  const fields = decode(bytes);
  return {
    shard: fields.shard as NodeName,
    epoch: epochOf(fields),
    head: whole(fields.head, 'head'),
    traceParent: fields.text,
  };
}

/** Writes the answer to that. */
export const encodePrepareAnswer = (message: PrepareAnswer): Uint8Array =>
  encode({ yes: message.accepted, text: message.reason });

/** Reads the answer to that. Throws `MessageError`. */
export function decodePrepareAnswer(bytes: Uint8Array): PrepareAnswer {
  const fields = decode(bytes);
  return { accepted: fields.yes, reason: fields.text };
}
